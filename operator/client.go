package operator

import (
	"net/http"

	"connectrpc.com/connect"

	"figwheel/hop"
	"figwheel/operator/operatorpb"
	"figwheel/site"
)

// messageBytesMax bounds an encoded message, in bytes: a bundle of the largest
// size and a mebibyte for the other fields.
const messageBytesMax = site.BundleBytesMax + 1<<20

// NewClient returns a client of the daemon with this operator address.
func NewClient(address string) operatorpb.OperatorServiceClient {
	return operatorpb.NewOperatorServiceClient(hop.CheckedClient{Client: http.DefaultClient}, "http://"+address, connect.WithReadMaxBytes(messageBytesMax))
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s operatorpb.OperatorServiceHandler) (string, http.Handler) {
	return operatorpb.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax))
}
