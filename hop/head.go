package hop

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"figwheel/result"
)

// statusMax is the highest status of a response in HTTP.
const statusMax = 599

// CheckHead returns an error with the code WrongAnswer if p answers no request in HTTP.
// net/http also returns responses with other statuses: 101, those below 100 and those above
// 599, and those of other versions of HTTP. It accepts blanks in the name of a field and takes
// it for another field, so that an answer whose "Content-Length " is 4 has no length.
func CheckHead(p *http.Response) error {
	if s := headFault(p); s != "" {
		return result.New(result.WrongAnswer, "%s", s)
	}
	return nil
}

// CheckedClient is an http.Client that returns an error for a response whose head CheckHead rejects.
type CheckedClient struct{ *http.Client }

// Do sends q and returns the response.
func (c CheckedClient) Do(q *http.Request) (*http.Response, error) {
	p, err := c.Client.Do(q)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(p); err != nil {
		_ = p.Body.Close()
		return nil, err
	}
	return p, nil
}

// headFault returns why p answers no request in HTTP, or an empty text if it does.
func headFault(p *http.Response) string {
	if p.StatusCode < http.StatusOK || p.StatusCode > statusMax {
		return "the answer has the status " + strconv.Itoa(p.StatusCode)
	}
	if p.ProtoMajor != 1 {
		return "the answer is one of " + strconv.QuoteToASCII(p.Proto)
	}
	if s := nameFault(p.Header); s != "" {
		return s
	}
	return trailerFault(p.Trailer)
}

// trailerFault returns which field of the trailer h must not be one, or an empty text if there
// is none. The trailer of a response is complete at the end of its body.
func trailerFault(h http.Header) string {
	for k := range h {
		switch k {
		case "Content-Length", "Transfer-Encoding", "Trailer":
			return "the trailer of the answer has the field " + k
		}
	}
	return nameFault(h)
}

// nameFault returns which field of h has a name that HTTP does not allow, or an empty text if
// there is none.
func nameFault(h http.Header) string {
	for k := range h {
		if !isToken(k) {
			return "a field of the answer has the name " + strconv.QuoteToASCII(k[:min(len(k), quotedNameBytesMax)])
		}
	}
	return ""
}

// quotedNameBytesMax bounds what is quoted of a name, in bytes.
const quotedNameBytesMax = 40

// isToken reports whether s is a token of HTTP, as the name of a field has to be.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if ('a' > c || c > 'z') && ('A' > c || c > 'Z') && ('0' > c || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// gotInterim checks the head of an interim response. net/http bounds the bytes of all heads
// of a response, but no longer those of interim ones once they are checked here.
func (s *connTrace) gotInterim(_ int, h textproto.MIMEHeader) error {
	if n := nameFault(http.Header(h)); n != "" {
		return result.New(result.WrongAnswer, "%s", n)
	}
	s.interimBytes += interimLineBytes
	for k, l := range h {
		for _, v := range l {
			s.interimBytes += len(k) + len(v) + fieldBytes
		}
	}
	if s.interimBytes > responseHeadBytesMax {
		return result.New(result.WrongAnswer, "the interim heads of the answer have more than %d bytes", responseHeadBytesMax)
	}
	return nil
}

const (
	interimLineBytes = 16 // least size of a status line and of the line that ends its head
	fieldBytes       = 3  // least size of a field beside its name and value
)
