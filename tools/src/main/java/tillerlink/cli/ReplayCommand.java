package tillerlink.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.Policy;
import tillerlink.audit.Breach;
import tillerlink.audit.Rule;
import tillerlink.baseline.Baseline;
import tillerlink.emulator.Fleet;
import tillerlink.port.SteeringFactory;
import tillerlink.replay.Arrivals;
import tillerlink.replay.End;
import tillerlink.replay.Figures;
import tillerlink.replay.Job;
import tillerlink.replay.Report;
import tillerlink.replay.Run;
import tillerlink.trace.Layout;
import tillerlink.workload.BuiltIn;
import tillerlink.workload.Plan;

/** Replays a trace through gateways and tells what it was worth. */
@Command(name = "replay", mixinStandardHelpOptions = true,
        description = "Replay a cluster trace through real gateways against emulated engines, in virtual time.",
        footer = {"", "Layouts: google-2011 (ClusterData 2011, task_events), alibaba-2018 (batch_task), azure-2019",
            "(vmtable). The figure is the payoff answered within the soft limit over the payoff asked for."})
final class ReplayCommand implements Callable<Integer> {
    /** What decides. */
    enum Choice { MODULE, RANDOM, LEAST_OUTSTANDING }

    private static final long TELL_EVERY_NANOS = 1_000_000_000L;

    @Spec
    private CommandSpec spec;
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "shards, in order; - for standard input")
    private List<String> files;
    @Option(names = "--layout", required = true, completionCandidates = Words.LayoutNames.class,
            description = "one of ${COMPLETION-CANDIDATES}")
    private String layout;
    @Option(names = "--report", paramLabel = "OUT.json", description = "where the report goes")
    private Path report;
    @Option(names = "--load", defaultValue = "0.6",
            description = "the share of the fleet's cores that the work takes (default ${DEFAULT-VALUE})")
    private double load;
    @Option(names = "--scale", defaultValue = "TIME",
            description = "what gives way for that: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
    private Plan.Scale scale;
    @Option(names = "--gateways", defaultValue = "3", description = "how many (default ${DEFAULT-VALUE})")
    private int gateways;
    @Option(names = "--engines", defaultValue = "12", description = "how many (default ${DEFAULT-VALUE})")
    private int engines;
    @Option(names = "--window", defaultValue = "3600",
            description = "seconds of trace time in which rows may stand out of order (default ${DEFAULT-VALUE})")
    private double window;
    @Option(names = "--sort", paramLabel = "FOLDER", description = "sort outside memory first, in this folder")
    private Path sortIn;
    @Option(names = "--sort-most", defaultValue = "4096", paramLabel = "MB",
            description = "how much that may take there (default ${DEFAULT-VALUE})")
    private long sortMost;
    @Option(names = "--estimate-error", defaultValue = "0.4",
            description = "sigma by which estimates miss (default ${DEFAULT-VALUE})")
    private double error;
    @Option(names = "--bad-most", defaultValue = "0.1",
            description = "share of bad rows above which it ends with 1 (default ${DEFAULT-VALUE})")
    private double badMost;
    @Option(names = "--seed", defaultValue = "1", description = "what is drawn (default ${DEFAULT-VALUE})")
    private long seed;
    @Option(names = "--policy", defaultValue = "MODULE",
            description = "what decides: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
    private Choice choice;
    @Option(names = "--quiet", description = "no progress")
    private boolean quiet;

    private long toldAt = System.nanoTime();

    @Override
    public Integer call() throws IOException {
        check(load > 0 && load <= 10, "--load is above 0 and at most 10");
        check(gateways >= 1 && gateways <= 1000, "--gateways is 1 to 1000");
        check(engines >= 1 && engines <= 5000, "--engines is 1 to 5000");
        check(window >= 0 && error >= 0 && badMost >= 0, "nothing is below 0");
        Layout chosen = Words.layout(layout, List.of());
        Job job = new Job(Words.shards(files), chosen, BuiltIn.tracks(chosen), Fleet.of(gateways, engines), List.of(),
                (long) (window * Words.SECOND), sortIn, sortMost << 20, load, scale, error, badMost, seed,
                choice.name().toLowerCase(Locale.ROOT), modules());
        try (Arrivals arrivals = new Arrivals(job)) {
            long began = System.nanoTime();
            Run run = new Run(job, arrivals);
            run.play(this::progress);
            if (report != null) {
                Report.write(run, report);
            }
            print(run);
            if (!quiet) {
                spec.commandLine().getErr().printf(Locale.ROOT, "%.1f s of replay took %.1f s%n",
                        run.lasted() / Words.SECOND, (System.nanoTime() - began) / 1e9);
            }
            return run.sound() ? 0 : 1;
        }
    }

    private SteeringFactory modules() {
        return switch (choice) {
            case MODULE -> Policy::new;
            case RANDOM -> Baseline.of(Baseline.Choice.RANDOM);
            default -> Baseline.of(Baseline.Choice.LEAST_OUTSTANDING);
        };
    }

    private void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new CommandLine.ParameterException(spec.commandLine(), otherwise);
        }
    }

    private void progress(long arrived) {
        long now = System.nanoTime();
        if (!quiet && now - toldAt >= TELL_EVERY_NANOS) {
            toldAt = now;
            spec.commandLine().getErr().printf(Locale.ROOT, "%d submissions%n", arrived);
            spec.commandLine().getErr().flush();
        }
    }

    private void print(Run run) {
        PrintWriter out = spec.commandLine().getOut();
        Figures figures = run.figures();
        out.printf(Locale.ROOT, "served %.4f whole, %.4f worst 10 s, %.4f worst track; %s, emulated engines%n",
                figures.whole(), figures.worstWindow(), figures.worstTrack(), run.job().policyName());
        out.printf(Locale.ROOT, "%-8s %9s %8s %7s %8s %8s %7s %9s %9s%n", "track", "arrived", "in time", "late",
                "turned", "broken", "gone", "half ms", "99% ms");
        for (Figures.OfTrack of : figures.tracks()) {
            out.printf(Locale.ROOT, "%-8s %9d %8.4f %7d %8d %8d %7d %9.1f %9.1f%n", of.track().name(), of.arrived(),
                    of.served(), of.ended(End.LATE), of.ended(End.TURNED_BACK), of.ended(End.BROKEN_OFF),
                    of.ended(End.CLIENT_GONE) + of.ended(End.KILLED), of.timeMs(50), of.timeMs(99));
        }
        out.printf(Locale.ROOT, "rows %d read, %d used, %d bad; hops %d, %d further%n",
                run.arrivals().tally().rowsRead(), run.arrivals().tally().rowsUsed(), run.arrivals().tally().bad(),
                run.auditor().hops(), run.auditor().furtherHops());
        run.world().happened().forEach(out::println);
        for (Map.Entry<Rule, Long> broken : run.auditor().counts().entrySet()) {
            out.printf("rule broken: %s, %d times%n", broken.getKey().name().toLowerCase(Locale.ROOT),
                    broken.getValue());
        }
        for (Breach breach : run.auditor().breaches().subList(0, Math.min(5, run.auditor().breaches().size()))) {
            out.println("  " + breach.what());
        }
        out.flush();
    }
}
