package tool

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) bundleStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the version in force and the open proposals",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			var s wire.ControlStatus
			if err := t.get(ctx, wire.PathStatus, &s); err != nil {
				return err
			}
			return t.print(s, func(w io.Writer) { writeStatus(w, s) })
		}),
	}
}

func writeStatus(w io.Writer, s wire.ControlStatus) {
	reading(w, s.Freshness)
	line(w, "A version needs %d approvals. The next number is %d.", s.RequiredApprovals, s.NextVersion)
	if s.Accepted == nil {
		line(w, "No version was accepted yet.")
	} else {
		line(w, "Version %d is in force, rolled by %s at %s.", s.Accepted.Version, s.Accepted.EndedBy, instant(s.Accepted.EndedAt))
	}
	if len(s.OpenProposals) == 0 {
		line(w, "No proposal is open.")
		return
	}
	line(w, "")
	writeVersions(w, s.OpenProposals)
}

func writeVersions(w io.Writer, versions []wire.VersionStatus) {
	row(w, "VERSION", "STATUS", "DIGEST", "BASED ON", "PROPOSED BY", "PROPOSED AT", "APPROVED BY", "ENDED BY", "ENDED AT")
	for _, v := range versions {
		row(w, v.Version, v.Status, v.Digest.Short(), v.BasedOn, v.ProposedBy, instant(v.ProposedAt),
			strings.Join(v.ApprovedBy, ","), v.EndedBy, instant(v.EndedAt))
	}
}
