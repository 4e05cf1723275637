package demo

import (
	"context"
	"slices"

	"figwheel/operator"
	"figwheel/operator/operatorpb"
)

// allKnown reports whether every daemon counts all instances as live.
func (m *Mesh) allKnown(x context.Context) bool {
	for _, k := range m.Instances {
		s, err := operator.NewClient(k.Settings.OperatorAddress).Status(x, &operatorpb.StatusRequest{})
		if err != nil {
			return false
		}
		var n uint32
		for _, p := range s.GetSites() {
			n += p.GetLive()
		}
		if int(n) != len(m.Instances) {
			return false
		}
	}
	return true
}

// allReady reports whether every daemon is ready and can send calls to every
// worker.
func (m *Mesh) allReady(x context.Context) bool {
	for _, k := range m.Instances {
		s, err := operator.NewClient(k.Settings.OperatorAddress).Status(x, &operatorpb.StatusRequest{Local: true})
		if err != nil || !s.GetReady() {
			return false
		}
		for _, o := range m.Instances {
			if !slices.Contains(s.GetReadyInstances(), o.Name) {
				return false
			}
		}
	}
	return true
}
