// Package responsehead checks the heads of HTTP/1.1 responses as they are received
// (RFC 9112, sections 4 and 5). The parsers of net/http and hertz accept heads that the
// protocol does not allow, and read another response from them than the target sent.
package responsehead

import "fmt"

// SyntaxError reports a byte that the protocol does not allow where it was received.
type SyntaxError struct {
	Part string // of the head, such as "status code"
	Byte byte
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("responsehead: byte %q is not allowed in the %s", e.Byte, e.Part)
}

// part is the part of a head to which the next byte belongs.
type part int

const (
	version part = iota
	codeSeparator
	statusCode
	reason // rest of the status line
	lineStart
	fieldName
	fieldValue
	fieldEnd    // the LF after the CR of a field
	lastLineEnd // the LF of the empty line
	ended
)

func (p part) String() string {
	return [...]string{
		"version", "separator of the status code", "status code", "reason", "start of a field name", "field name",
		"field value", "end of a field", "end of the head", "body",
	}[p]
}

const (
	// versionPattern is the form of the version, in which 0 stands for any digit.
	versionPattern = "HTTP/0.0"
	codeDigits     = 3
)

// Scanner checks the head of one response, including those of the interim responses
// before it. Its zero value is ready for the first byte.
type Scanner struct {
	part    part
	read    int  // bytes of the version, or digits of the status code
	interim bool // the response is an interim one
	err     error
}

// Scan checks the bytes that were received next. Once it has returned an error, it
// returns this error always. Bytes of the body are not looked at.
func (s *Scanner) Scan(p []byte) error {
	for _, b := range p {
		if s.err != nil || s.part == ended {
			break
		}
		if part := s.part; !s.next(b) {
			s.err = &SyntaxError{Part: part.String(), Byte: b}
		}
	}
	return s.err
}

// Ended reports whether the whole head has been received.
func (s *Scanner) Ended() bool { return s.part == ended }

// next reports whether b is allowed as the next byte.
func (s *Scanner) next(b byte) bool {
	switch s.part {
	case version:
		return s.nextOfVersion(b)
	case codeSeparator:
		s.part, s.read = statusCode, 0
		return b == ' '
	case statusCode:
		return s.nextOfCode(b)
	case reason:
		if b == '\n' {
			s.part = lineStart
		}
	case lineStart:
		return s.nextOfLine(b)
	case fieldName, fieldValue:
		return s.nextOfField(b)
	case fieldEnd:
		s.part = lineStart
		return b == '\n'
	case lastLineEnd:
		if b != '\n' {
			return false
		}
		s.end()
	}
	return true
}

func (s *Scanner) nextOfVersion(b byte) bool {
	if s.read == 0 && (b == '\r' || b == '\n') {
		return true // empty lines before a response do no harm
	}
	want := versionPattern[s.read]
	if s.read++; s.read == len(versionPattern) {
		s.part = codeSeparator
	}
	return b == want || want == '0' && isDigit(b)
}

// nextOfCode checks a byte of the status code, which is 100 or more, and the byte after it.
func (s *Scanner) nextOfCode(b byte) bool {
	switch {
	case s.read == 0 && b == ' ':
		return true // some servers send several blanks
	case s.read == 0:
		s.read, s.interim = 1, b == '1'
		return isDigit(b) && b != '0'
	case s.read < codeDigits:
		s.read++
		return isDigit(b)
	}
	s.part = reason
	if b == '\n' {
		s.part = lineStart
	}
	return b == ' ' || b == '\r' || b == '\n'
}

// nextOfLine checks the first byte of a line after the status line. A value that is folded
// into a second line cannot be told from a name that begins with a blank. Servers must not
// fold values, and a proxy may discard such a response.
func (s *Scanner) nextOfLine(b byte) bool {
	switch b {
	case '\r':
		s.part = lastLineEnd
	case '\n':
		s.end()
	default:
		s.part = fieldName
		return isToken[b]
	}
	return true
}

func (s *Scanner) nextOfField(b byte) bool {
	switch {
	case s.part == fieldName && b == ':':
		s.part = fieldValue
	case s.part == fieldName:
		return isToken[b]
	case b == '\r':
		s.part = fieldEnd
	case b == '\n':
		s.part = lineStart
	default:
		return isValue(b)
	}
	return true
}

// end ends a head. The head of another response follows that of an interim one.
func (s *Scanner) end() {
	if s.interim {
		*s = Scanner{}
	} else {
		s.part = ended
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isValue reports whether a field value may have b (RFC 9110, section 5.5).
func isValue(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isToken holds the bytes that a field name may have (RFC 9110, section 5.6.2).
var isToken = func() (set [256]bool) {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for i := range len(tokenBytes) {
		set[tokenBytes[i]] = true
	}
	return set
}()
