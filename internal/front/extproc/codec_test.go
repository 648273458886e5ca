package extproc

import (
	"encoding/binary"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
)

// marshal writes a message as gRPC frames it.
func marshal(m *extprocv3.ProcessingRequest) ([]byte, error) {
	data, err := proto.Marshal(m)
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data))), data...), err
}

func unmarshal(data []byte) (*extprocv3.ProcessingRequest, error) {
	m := &extprocv3.ProcessingRequest{}
	return m, proto.Unmarshal(data, m)
}
