package operator

import (
	"net/http"

	"connectrpc.com/connect"

	"figwheel/operator/operatorpb"
	"figwheel/site"
)

// messageBytesMax bounds a submission on the wire, in bytes.
const messageBytesMax = site.BundleBytesMax + 1<<20

// NewClient returns a client of the daemon whose operator address is given.
func NewClient(address string) operatorpb.OperatorServiceClient {
	return operatorpb.NewOperatorServiceClient(http.DefaultClient, "http://"+address, connect.WithReadMaxBytes(messageBytesMax))
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s operatorpb.OperatorServiceHandler) (string, http.Handler) {
	return operatorpb.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax))
}
