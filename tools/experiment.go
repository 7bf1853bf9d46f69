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

// cmdExperiment prints what the committed journal says of experiments.
func cmdExperiment() *cobra.Command {
	var journalFolder, reason, baseReason, scoreReason, ablationPrefix string
	c := &cobra.Command{
		Use: "experiment", Short: "print scores and paired comparisons from the journal", Args: cobra.NoArgs,
		Long: "With --why, pairs the plays that carry this reason: the sources that were played first against the others.\n" +
			"With --scores, prints the scores that carry it, day by day. Without either, lists the reasons.",
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
	c.Flags().StringVar(&journalFolder, "journal", "journal", "folder of the journal")
	c.Flags().StringVar(&reason, "why", "", "reason of the plays to compare")
	c.Flags().StringVar(&baseReason, "base", "", "reason of the plays to compare them with; else the sources that were played first")
	c.Flags().StringVar(&ablationPrefix, "ablation", "", "prefix of the reasons of an ablation; the one that ends in 'nothing' is the base")
	c.Flags().StringVar(&scoreReason, "scores", "", "reason of the scores to print")
	return c
}

// printComparison prints a row for each day, as Markdown.
func printComparison(out io.Writer, rows []journal.Difference) error {
	if len(rows) == 0 {
		return fault.New(fault.NotFound, "no pairs of plays carry that reason")
	}
	fmt.Fprintln(out, "| site | day | pairs | worth before | after | difference | better / worse | failed | worst windows | days with a broken rule |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range rows {
		fmt.Fprintf(out, "| %s | %s | %d | %.4f | %.4f | %+.4f ± %.4f | %d / %d | %+.4f | %+.3f | %d |\n",
			d.Site, d.Day, d.Pairs, d.Before, d.After, d.Mean, d.Error, d.Better, d.Worse, d.Failed, d.Windows, d.Broken)
	}
	return nil
}

// printScores prints the days of each score, as Markdown.
func printScores(out io.Writer, entries []journal.Entry, reason string) error {
	entries = slices.DeleteFunc(entries, func(e journal.Entry) bool { return e.Why != reason || e.Score == nil })
	if len(entries) == 0 {
		return fault.New(fault.NotFound, "no scores carry that reason")
	}
	fmt.Fprintln(out, "| site (score) | day | worth | served | refused | failed | two worst windows | prices |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, e := range entries {
		for _, d := range e.Days {
			fmt.Fprintf(out, "| %s (%.3f) | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f |\n",
				e.Site, *e.Score, d.Name, d.Worth, d.Served, d.Refused, d.Failed, d.Part("worst windows"), d.Priced())
		}
	}
	return nil
}

// printAblation prints what each thing that was switched off is worth at each
// site, as Markdown: the difference that its absence makes.
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
			cell := fmt.Sprintf("%+.4f ± %.4f (%d)", d.Mean, d.Error, d.Pairs)
			if d.Broken > 0 {
				cell += fmt.Sprintf(", %d broken", d.Broken)
			}
			cells[[2]string{e.Why, d.Site}] = cell
			if !slices.Contains(sites, d.Site) {
				sites = append(sites, d.Site)
			}
		}
	}
	if len(cells) == 0 {
		return fault.New(fault.NotFound, "no pairs of plays carry that prefix")
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

// printReasons lists the reasons with how many plays carry each.
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
	_ = table.Flush() // to a terminal or a file that is full
}
