package lrcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrdaemon"
	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrtimeline"
)

const (
	adminTimeout      = 2 * time.Second
	defaultAuditLimit = 20
	formatTable       = "table"
	formatJSON        = "json"
)

func newStatusCommand(o *options) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use: "status", Short: "Show the instances, their versions and the backend servers", Args: cobra.NoArgs,
		Example: "  lavenderrouter status -o json",
	}
	command.Flags().StringVarP(&format, "output", "o", formatTable, "table or json")
	command.RunE = func(c *cobra.Command, _ []string) error {
		routers, err := o.routers(c.Context())
		if err != nil {
			return err
		}
		statuses := fetchStatuses(c.Context(), routers)
		if format == formatJSON {
			return o.printJSON(statuses)
		}
		return o.printStatuses(statuses)
	}
	return command
}

type instanceStatus struct {
	Instance lrplatform.Instance `json:"instance"`
	Status   *lrdaemon.Status    `json:"status,omitempty"`
	Error    string              `json:"error,omitempty"`
}

func (o *options) printStatuses(statuses []instanceStatus) error {
	table := tabwriter.NewWriter(o.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tZONE\tVERSION\tRUNNING\tSTATE")
	for _, s := range statuses {
		if s.Status == nil {
			_, _ = fmt.Fprintf(table, "%s\t%s\t-\t-\tno answer: %s\n", s.Instance.Name, s.Instance.Zone, s.Error)
			continue
		}
		state := "ready"
		if len(s.Status.Missing) > 0 {
			state = fmt.Sprint(s.Status.Missing)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", s.Status.Name, s.Status.Zone, s.Status.ConfigVersion, s.Status.Running, state)
	}
	return table.Flush()
}

func (o *options) routers(ctx context.Context) ([]lrplatform.Instance, error) {
	platform, err := o.platform()
	if err != nil {
		return nil, err
	}
	instances, err := platform.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the list of instances from the platform: %w", err)
	}
	var routers []lrplatform.Instance
	for _, i := range instances {
		if i.Role == lrplatform.RoleRouter {
			routers = append(routers, i)
		}
	}
	return routers, nil
}

func fetchStatus(ctx context.Context, router lrplatform.Instance) instanceStatus {
	var status lrdaemon.Status
	err := getAdmin(ctx, router, "/admin/status", &status)
	if err != nil {
		return instanceStatus{Instance: router, Error: err.Error()}
	}
	return instanceStatus{Instance: router, Status: &status}
}

func getAdmin(ctx context.Context, router lrplatform.Instance, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router.AdminAddress+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func newAuditCommand(o *options) *cobra.Command {
	var limit int
	var format string
	command := &cobra.Command{
		Use: "audit", Short: "Show the accepted changes, the latest first", Args: cobra.NoArgs,
		Example: "  lavenderrouter audit --limit 5",
	}
	command.Flags().IntVar(&limit, "limit", defaultAuditLimit, "number of changes")
	command.Flags().StringVarP(&format, "output", "o", formatTable, "table or json")
	command.RunE = func(c *cobra.Command, _ []string) error {
		publisher, err := o.publisher()
		if err != nil {
			return err
		}
		entries, err := publisher.Audit(c.Context(), limit)
		if err != nil {
			return fmt.Errorf("read the audit trail from the platform: %w", err)
		}
		if format == formatJSON {
			return o.printJSON(entries)
		}
		for _, e := range entries {
			o.printf("version %d  %s  %s  %s\n", e.Version, e.When.Format(time.RFC3339), e.Who, e.What)
			for _, a := range e.Changes {
				o.printf("  %s\n    - %s\n    + %s\n", a.Item, orNothing(a.Before), orNothing(a.After))
			}
		}
		return nil
	}
	return command
}

func newExplainCommand(o *options) *cobra.Command {
	var logs []string
	command := &cobra.Command{
		Use: "explain REQUEST-ID", Short: "Show how a request was served", Args: cobra.ExactArgs(1),
		Example: "  lavenderrouter explain 6f0c7a1e-0c1e-4f0e-9a53-2f5f4c1f4a11\n" +
			"  lavenderrouter explain 690d298e389f87d6 --logs edge-1.log --logs edge-2.log",
	}
	command.Flags().StringArrayVar(&logs, "logs", nil, "log file to read instead of asking the instances; - is the standard input")
	command.RunE = func(c *cobra.Command, args []string) error {
		if len(logs) > 0 {
			return explainFromLogs(c.OutOrStdout(), c.InOrStdin(), args[0], logs)
		}
		return o.explainFromInstances(c.Context(), args[0])
	}
	return command
}

func explainFromLogs(output io.Writer, input io.Reader, request string, names []string) error {
	readers := make([]io.Reader, 0, len(names))
	for _, n := range names {
		if n == "-" {
			readers = append(readers, input)
			continue
		}
		file, err := os.Open(n)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	return lrtimeline.Write(output, request, readers...)
}

func (o *options) explainFromInstances(ctx context.Context, request string) error {
	routers, err := o.routers(ctx)
	if err != nil {
		return err
	}
	for _, r := range routers {
		var explanation lrexplain.Explanation
		err = getAdmin(ctx, r, "/admin/requests/"+url.PathEscape(request), &explanation)
		if err == nil {
			return o.printJSON(explanation)
		}
	}
	return fmt.Errorf("no instance remembers request %s; only the latest ones are kept", request)
}
