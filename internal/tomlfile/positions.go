package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds the lines and numbers of a file, by complete key.
type positions struct {
	lines   map[string]int    // of keys and tables
	numbers map[string]string // values that are numbers, as written
}

// locateKeys returns the positions of all keys and tables of a file. It stops at the first syntax error, which the
// decoder reports.
func locateKeys(data []byte) positions {
	found := positions{lines: map[string]int{}, numbers: map[string]string{}}
	arrayLengths := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	counter := lineCounter{data: data, line: 1}
	table := "" // prefix of the keys that follow, with a trailing dot
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
			value := expression.Value()
			if value.Kind == unstable.Integer || value.Kind == unstable.Float {
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

// lineCounter counts lines up to an offset, which never decreases since expressions are in the order of the file.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

// readKey returns the key of an expression and advances the counter to it.
func (c *lineCounter) readKey(expression *unstable.Node) string {
	var parts []string
	for iterator := expression.Key(); iterator.Next(); {
		node := iterator.Node()
		c.advanceTo(int(node.Raw.Offset))
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, ".")
}

// advanceTo advances the counter to an offset. A lower offset is ignored.
func (c *lineCounter) advanceTo(offset int) {
	if offset <= c.offset {
		return
	}
	c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
	c.offset = offset
}
