package lrgateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels responds with the models and adapters that the plan of the client account allows.
func (g *Gateway) listModels(_ context.Context, call *Call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range call.Snapshot.Catalog().Models {
		if !slices.Contains(call.Plan.Models, m.Name) {
			continue
		}
		list.Data = append(list.Data, newModelItem(m.Name))
		for _, a := range m.Adapters {
			if slices.Contains(call.Plan.Adapters, a) {
				list.Data = append(list.Data, newModelItem(m.Name+adapterSeparator+a))
			}
		}
	}
	call.explanation.Outcome = lrerror.Ran
	call.wroteHeader = true
	call.allowWrite(g.Clock().Add(g.options.WriteTimeout))
	writeJSON(call.writer, http.StatusOK, list)
	return nil
}

func newModelItem(id string) modelItem {
	return modelItem{ID: id, Object: "model", OwnedBy: "lavenderrouter"}
}
