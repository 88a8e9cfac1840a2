package tool

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newBundleStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the version in force and the open proposals",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			var s wire.ControlStatus
			if err := t.get(ctx, wire.PathStatus, &s); err != nil {
				return err
			}
			return t.printDocument(s, func(w io.Writer) { writeStatus(w, s) })
		}),
	}
}

func writeStatus(w io.Writer, status wire.ControlStatus) {
	writeFreshness(w, status.Freshness)
	writeLine(w, "A version needs %d approvals. The next number is %d.", status.RequiredApprovals, status.NextVersion)
	if status.Accepted == nil {
		writeLine(w, "No version was accepted yet.")
	} else {
		writeLine(w, "Version %d is in force, rolled by %s at %s.", status.Accepted.Version, status.Accepted.EndedBy, formatTime(status.Accepted.EndedAt))
	}
	if len(status.OpenProposals) == 0 {
		writeLine(w, "No proposal is open.")
		return
	}
	writeLine(w, "")
	writeVersions(w, status.OpenProposals)
}

func writeVersions(w io.Writer, versions []wire.VersionStatus) {
	writeRow(w, "VERSION", "STATUS", "DIGEST", "BASED ON", "PROPOSED BY", "PROPOSED AT", "APPROVED BY", "ENDED BY", "ENDED AT")
	for _, v := range versions {
		writeRow(w, v.Version, v.Status, v.Digest.Short(), v.BasedOn, v.ProposedBy, formatTime(v.ProposedAt),
			strings.Join(v.ApprovedBy, ","), v.EndedBy, formatTime(v.EndedAt))
	}
}
