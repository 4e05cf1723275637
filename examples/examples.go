package examples

import (
	"embed"
	"path"

	"github.com/zeebo/errs"

	"figwheel/site"
)

//go:embed trentside thanh-hoa
var files embed.FS

var examplesError = errs.Class("examples")

// Group is the workers of one service of a deployment.
type Group struct {
	Service string
	Workers int
	Slots   int
}

// Deployment is one of the meshes that figwheel was made for.
type Deployment struct {
	Name   string
	Bundle site.Bundle
	Groups []Group
}

// Names returns the names of the deployments.
func Names() []string { return []string{"trentside", "thanh-hoa"} }

// Load returns a deployment by its name.
func Load(name string) (Deployment, error) {
	d := Deployment{Name: name}
	switch name {
	case "trentside":
		d.Groups = []Group{{"availability", 3, 9}, {"bookings", 3, 9}, {"riverdesk", 4, 9}}
	case "thanh-hoa":
		d.Groups = []Group{{"gauge-desk", 4, 6}, {"cert-office", 4, 6}, {"lot-ledger", 4, 6}}
	default:
		return d, examplesError.New("there is no deployment %q", name)
	}
	var err error
	d.Bundle.Base, err = read(path.Join(name, "base.yaml"))
	if err != nil {
		return d, err
	}
	l, err := files.ReadDir(path.Join(name, "sites"))
	if err != nil {
		return d, examplesError.Wrap(err)
	}
	for _, e := range l {
		f, err := read(path.Join(name, "sites", e.Name()))
		if err != nil {
			return d, err
		}
		d.Bundle.Overlays = append(d.Bundle.Overlays, f)
	}
	return d, nil
}

func read(p string) (site.File, error) {
	b, err := files.ReadFile(p)
	return site.File{Name: path.Base(p), Text: string(b)}, examplesError.Wrap(err)
}
