package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/journal"
)

// cmdExperiment prints the results of experiments from the committed journal.
func cmdExperiment() *cobra.Command {
	var journalFolder, reason, baseReason, scoreReason, ablationPrefix string
	c := &cobra.Command{
		Use: "experiment", Short: "print scores and paired comparisons from the journal", Args: cobra.NoArgs,
		Long: "With --why, pairs the runs that have this reason and compares the first version of the sources with the later ones.\n" +
			"With --scores, prints the scores that have this reason, day by day. Without --why, --ablation and --scores, lists the reasons.",
		RunE: func(c *cobra.Command, _ []string) error {
			entries, err := journal.Load(journalFolder)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			switch {
			case ablationPrefix != "":
				err = printAblation(out, entries, ablationPrefix)
			case baseReason != "":
				err = printComparison(out, journal.CompareReasons(entries, baseReason, reason))
			case reason != "":
				err = printComparison(out, journal.Compare(entries, reason))
			case scoreReason != "":
				err = printScores(out, entries, scoreReason)
			default:
				printReasons(out, entries)
			}
			return err
		},
	}
	c.Flags().StringVar(&journalFolder, "journal", "journal", "journal folder")
	c.Flags().StringVar(&reason, "why", "", "reason of the runs to compare")
	c.Flags().StringVar(&baseReason, "base", "", "reason of the baseline runs; if empty, the runs of the first version of the sources are the baseline")
	c.Flags().StringVar(&ablationPrefix, "ablation", "", "prefix of the reasons of an ablation; the reason that ends in 'nothing' is the baseline")
	c.Flags().StringVar(&scoreReason, "scores", "", "reason of the scores to print")
	return c
}

// printComparison prints a Markdown table with a row for each day.
func printComparison(out io.Writer, rows []journal.Difference) error {
	if len(rows) == 0 {
		return fault.New(fault.NotFound, "no pairs of runs have that reason")
	}
	fmt.Fprintln(out, "| site | day | pairs | worth before | after | difference | better / worse | failed | worst windows | days with a broken rule |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range rows {
		fmt.Fprintf(out, "| %s | %s | %d | %.4f | %.4f | %+.4f ± %.4f | %d / %d | %+.4f | %+.3f | %d |\n",
			d.Site, d.Day, d.Pairs, d.Before, d.After, d.MeanChange, d.StandardError, d.Better, d.Worse, d.FailedChange, d.WorstWindowsChange, d.PairsWithViolations)
	}
	return nil
}

// printScores prints the days of each score as a Markdown table.
func printScores(out io.Writer, entries []journal.Entry, reason string) error {
	entries = slices.DeleteFunc(entries, func(e journal.Entry) bool { return e.Why != reason || e.Score == nil })
	if len(entries) == 0 {
		return fault.New(fault.NotFound, "no scores have that reason")
	}
	fmt.Fprintln(out, "| site (score) | day | worth | served | refused | failed | two worst windows | prices |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, e := range entries {
		for _, d := range e.Days {
			fmt.Fprintf(out, "| %s (%.3f) | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f |\n",
				e.Site, *e.Score, d.Name, d.Score, d.Served, d.Refused, d.Failed, d.Part("worst windows"), d.TotalPenalty())
		}
	}
	return nil
}

// printAblation prints a Markdown table of the difference that switching off each
// feature makes at each site.
func printAblation(out io.Writer, entries []journal.Entry, prefix string) error {
	base := prefix + "nothing"
	var sites, reasons []string
	cells := map[[2]string]string{}
	for _, e := range entries {
		if !strings.HasPrefix(e.Why, prefix) || e.Why == base || slices.Contains(reasons, e.Why) {
			continue
		}
		reasons = append(reasons, e.Why)
		for _, d := range journal.CompareReasons(entries, base, e.Why) {
			if d.Day != journal.AllDays {
				continue
			}
			cell := fmt.Sprintf("%+.4f ± %.4f (%d)", d.MeanChange, d.StandardError, d.Pairs)
			if d.PairsWithViolations > 0 {
				cell += fmt.Sprintf(", %d broken", d.PairsWithViolations)
			}
			cells[[2]string{e.Why, d.Site}] = cell
			if !slices.Contains(sites, d.Site) {
				sites = append(sites, d.Site)
			}
		}
	}
	if len(cells) == 0 {
		return fault.New(fault.NotFound, "no pairs of runs have reasons with that prefix")
	}
	fmt.Fprintf(out, "| switched off | %s |\n|---|%s\n", strings.Join(sites, " | "), strings.Repeat("---|", len(sites)))
	for _, why := range reasons {
		fmt.Fprintf(out, "| %s |", strings.TrimPrefix(why, prefix))
		for _, site := range sites {
			fmt.Fprintf(out, " %s |", cells[[2]string{why, site}])
		}
		fmt.Fprintln(out)
	}
	return nil
}

// printReasons lists the reasons with the number of entries of each.
func printReasons(out io.Writer, entries []journal.Entry) {
	counts := map[string]int{}
	var order []string
	for _, e := range entries {
		if counts[e.Why] == 0 {
			order = append(order, e.Why)
		}
		counts[e.Why]++
	}
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	for _, why := range order {
		fmt.Fprintf(table, "%d\t%s\n", counts[why], why)
	}
	_ = table.Flush() // ignores write errors, as the other output does
}
