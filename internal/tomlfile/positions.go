package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions are facts about the keys of a file, by their complete keys.
type positions struct {
	lines   map[string]int    // of keys and tables
	numbers map[string]string // the values that are numbers, as written
}

// locateKeys returns the positions of all keys and tables of a well-formed file. At a syntax error it ends: the
// decoder reports it.
func locateKeys(data []byte) positions {
	found := positions{lines: map[string]int{}, numbers: map[string]string{}}
	arrayLengths := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	counter := lineCounter{data: data, line: 1}
	table := "" // the prefix of keys
	for parser.NextExpression() {
		expression := parser.Expression()
		key := counter.readKey(expression)
		switch expression.Kind {
		case unstable.Table:
			table = key + "."
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", key, arrayLengths[key])
			arrayLengths[key]++
		case unstable.KeyValue:
			found.lines[table+key] = counter.line
			if value := expression.Value(); value.Kind == unstable.Integer || value.Kind == unstable.Float {
				found.numbers[table+key] = string(value.Data)
			}
			continue
		default:
			continue
		}
		found.lines[strings.TrimSuffix(table, ".")] = counter.line
	}
	return found
}

// lineCounter counts lines up to an offset that only grows: expressions come in the order of the file.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

// readKey returns the key of an expression and advances the counter to it.
func (c *lineCounter) readKey(expression *unstable.Node) string {
	var parts []string
	for it := expression.Key(); it.Next(); {
		if offset := int(it.Node().Raw.Offset); offset > c.offset {
			c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
			c.offset = offset
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}
