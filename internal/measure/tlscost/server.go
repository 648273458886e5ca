package tlscost

import (
	"crypto/tls"
	"io"
	"net/http"
	"strings"

	"pinedale/internal/emulator/sockets/dualprotocol"
	"pinedale/internal/standin/ca"
)

const (
	// mutual is the argument of a server that requires a certificate of its clients.
	mutual = "mutual"

	responseBytes = 512
)

// serveServer runs a server for HTTP/1.1 and HTTP/3. Its arguments are the folder with its files, and mutual or an
// empty string.
func serveServer(args []string) (line string, stop func(), err error) {
	files, authentication := ca.FolderAt(ca.PanicOnFatal{}, args[0]), args[1]
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return "", nil, err
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}}
	if authentication == mutual {
		if config.ClientCAs, err = readRoots(files); err != nil {
			return "", nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return dualprotocol.Listen("127.0.0.1:0", dualprotocol.Options{
		Config: func(protocol string) *tls.Config {
			protocolConfig := config.Clone()
			protocolConfig.NextProtos = []string{protocol}
			return protocolConfig
		},
		Handler: http.HandlerFunc(answer),
	})
}

var responseBody = []byte(strings.Repeat("x", responseBytes))

// answer responds to a request with a load report. A write error is ignored, since it means that the client has
// disconnected.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Backend-Load", "inflight=1")
	_, _ = w.Write(responseBody)
}
