package observe

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log"
)

// initialLineBytes is the initial capacity of a line; most lines fit.
const initialLineBytes = 512

// jsonLogger writes each call as one JSON object with the fields in the order of the
// call. It avoids the map and the reflection of log.NewJSONLogger, which took most of
// the time of logging a request. A repeated name is written twice; JSON decoders
// usually keep the last value, which is the one that log.NewJSONLogger writes.
type jsonLogger struct {
	out   io.Writer
	lines sync.Pool // of *[]byte
}

func newJSONLogger(out io.Writer) log.Logger {
	return &jsonLogger{out: out, lines: sync.Pool{New: func() any {
		line := make([]byte, 0, initialLineBytes)
		return &line
	}}}
}

// Log implements log.Logger.
func (l *jsonLogger) Log(keyvals ...any) error {
	pooled := l.lines.Get().(*[]byte)
	line := append((*pooled)[:0], '{')
	for i := 0; i < len(keyvals); i += 2 {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(appendName(line, keyvals[i]), ':')
		if i+1 < len(keyvals) {
			line = appendValue(line, keyvals[i+1])
		} else {
			line = append(line, `"(missing)"`...)
		}
	}
	line = append(line, '}', '\n')
	_, err := l.out.Write(line)
	*pooled = line
	l.lines.Put(pooled)
	return err
}

func appendName(line []byte, name any) []byte {
	if text, ok := name.(string); ok {
		return appendString(line, text)
	}
	return appendString(line, fmt.Sprint(name))
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case float64:
		if !math.IsInf(v, 0) && !math.IsNaN(v) {
			return strconv.AppendFloat(line, v, 'g', -1, 64)
		}
	case bool:
		return strconv.AppendBool(line, v)
	case time.Time:
		line = append(line, '"')
		line = v.AppendFormat(line, time.RFC3339Nano)
		return append(line, '"')
	case error:
		return appendString(line, v.Error())
	case fmt.Stringer:
		return appendString(line, v.String())
	}
	data, err := json.Marshal(value)
	if err != nil {
		return appendString(line, fmt.Sprintf("%v (%v)", value, err))
	}
	return append(line, data...)
}

// appendString appends a JSON string. Text that needs escaping or is not ASCII goes
// through encoding/json.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			data, err := json.Marshal(text)
			if err != nil {
				return append(line, `"(unreadable)"`...)
			}
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
