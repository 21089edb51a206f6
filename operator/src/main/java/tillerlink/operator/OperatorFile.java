package tillerlink.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Kind;
import tillerlink.fleet.Spec;
import tillerlink.fleet.Trouble;
import tillerlink.model.Effect;
import tillerlink.net.http2.H2Carriers;
import tillerlink.trace.Layout;
import tillerlink.workload.Plan;
import tillerlink.workload.Track;

/**
 * What the operator has written, checked. Every part is optional; what is absent is null or empty.
 *
 * @param tracks in the order of the file: the first whose tests a row passes takes it
 */
public record OperatorFile(Log log, H2Carriers http2, Storing store, List<Layout> layouts, Fleet fleet,
                           List<Track> tracks, List<Trouble> troubles, Replaying replay) {
    /** How log lines look. */
    public record Log(Form form, Level level) {
    }

    /** Plain text, or a JSON object a line. */
    public enum Form { TEXT, JSON }

    /** What is logged at the least. */
    public enum Level { DEBUG, INFO, WARN, ERROR }

    /** What a replay is by default; times are tenths of a millisecond. */
    public record Replaying(double load, Plan.Scale scale, long window, double error, double badMost, long seed) {
    }

    /** Where gateways remember what outlives them; the age from which it is not trusted, in tenths of a millisecond. */
    public record Storing(String folder, long ageMost, long bytesMost) {
    }

    /** The file as a whole is wrong: all its faults, each with its place. */
    public static final class FaultyException extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient List<Fault> faults;

        FaultyException(Path file, List<Fault> faults) {
            super(file + ":" + faults.get(0) + (faults.size() == 1 ? ""
                    : " (and " + (faults.size() - 1) + " more faults)"));
            this.faults = faults;
        }

        public List<Fault> faults() {
            return faults;
        }
    }

    private static final double TENTHS_PER_MS = 10;
    private static final double TENTHS_PER_S = 10_000;
    private static final double DAY_S = 86_400;
    private static final double NONE = Double.NaN;

    /** @throws FaultyException if anything in it can't be used */
    public static OperatorFile read(Path path) throws IOException {
        List<Fault> faults = new ArrayList<>();
        Section all = HclReader.read(path, faults);
        OperatorFile file = new OperatorFile(log(all.one("log")), http2(all.one("http2")), store(all.one("store")),
                layouts(all), fleet(all.one("fleet")),
                tracks(all), troubles(all), replay(all.one("replay")));
        all.close();
        file.checkNames(all);
        if (!faults.isEmpty()) {
            throw new FaultyException(path, faults.stream().sorted().distinct().toList());
        }
        return file;
    }

    private static Log log(Section section) {
        if (section == null) {
            return null;
        }
        Log log = new Log(section.choice("form", Form.TEXT, Form.class),
                section.choice("level", Level.INFO, Level.class));
        section.close();
        return log;
    }

    /** Which engines are reached over HTTP/2. */
    private static H2Carriers http2(Section section) {
        if (section == null) {
            return null;
        }
        H2Carriers carriers = new H2Carriers(section.flag("all", false),
                Set.copyOf(new LinkedHashSet<>(section.texts("kinds", false))),
                (int) section.whole("streams_most", 1, 100_000, 0));
        if (!carriers.all() && carriers.kinds().isEmpty()) {
            section.fault("http2 wants kinds, or all = true");
        }
        section.close();
        return carriers;
    }

    private static Storing store(Section section) {
        if (section == null) {
            return null;
        }
        Storing store = new Storing(section.text("folder", null),
                Math.round(section.number("too_old_h", 0.01, 24 * 365, 24) * 3600 * TENTHS_PER_S),
                section.whole("memory_mb", 1, 1024, 16) << 20);
        section.close();
        return store;
    }

    // ---- layouts ----

    private static List<Layout> layouts(Section all) {
        List<Layout> layouts = new ArrayList<>();
        for (Section section : all.all("layout")) {
            Layout layout = layout(section);
            if (Layout.KNOWN.stream().anyMatch(known -> known.name().equals(layout.name()))
                    || layouts.stream().anyMatch(other -> other.name().equals(layout.name()))) {
                section.fault("a layout '" + layout.name() + "' is there already");
            }
            layouts.add(layout);
        }
        return layouts;
    }

    private enum TimeUnit {
        US(1e-2), MS(TENTHS_PER_MS), S(TENTHS_PER_S);

        private final double tenths;

        TimeUnit(double tenths) {
            this.tenths = tenths;
        }
    }

    private static Layout layout(Section section) {
        String name = section.label();
        boolean header = section.flag("header", false);
        List<String> columns = section.texts("columns", !header);
        String delimiter = section.text("delimiter", ",");
        if (delimiter.length() != 1 || "\"\n\r".contains(delimiter) || delimiter.charAt(0) > 126) {
            section.faultAt("delimiter", "'delimiter' is not one plain character");
            delimiter = ",";
        }
        Section pairs = section.one("pairs");
        Layout.Pairing pairing = null;
        if (pairs != null) {
            pairing = new Layout.Pairing(column(pairs, columns, "column", true), pairs.texts("starts", true),
                    pairs.texts("ends", true), pairs.texts("breaks", false));
            pairs.close();
        }
        Layout layout = new Layout(name, delimiter.charAt(0), header, columns,
                section.choice("time_unit", TimeUnit.S, TimeUnit.class).tenths,
                column(section, columns, "start", true), column(section, columns, "end", pairing == null),
                column(section, columns, "cores", false), section.number("cores_unit", 1e-9, 1e9, 1),
                column(section, columns, "memory", false), column(section, columns, "job", true),
                column(section, columns, "task", pairing != null), column(section, columns, "owner", false),
                column(section, columns, "copies", false), pairing, tests(section, "only", columns),
                section.number("unknown_time", 0, Double.MAX_VALUE, Double.MAX_VALUE));
        if (pairing != null && layout.end() != null) {
            section.faultAt("end", "'end' has no meaning where rows are paired");
        }
        section.close();
        return layout;
    }

    /** A column by its name, or by its place from 1 on. */
    private static String column(Section section, List<String> columns, String name, boolean wanted) {
        String given = wanted ? section.text(name, null) : section.textOrNull(name);
        if (given == null || given.isEmpty()) {
            return given;
        }
        if (given.matches("[0-9]{1,3}") && !columns.contains(given)) {
            int place = Integer.parseInt(given);
            if (place < 1 || place > columns.size()) {
                section.faultAt(name, "there is no column " + place);
                return columns.isEmpty() ? given : columns.get(0);
            }
            return columns.get(place - 1);
        }
        if (!columns.isEmpty() && !columns.contains(given)) {
            section.faultAt(name, "there is no column '" + given + "'");
        }
        return given;
    }

    private static List<Layout.Test> tests(Section section, String type, List<String> columns) {
        List<Layout.Test> tests = new ArrayList<>();
        for (Section test : section.all(type)) {
            String name = column(test, columns, "column", true);
            boolean byText = test.has("in") || test.has("not_in");
            boolean byNumber = test.has("least") || test.has("most");
            List<String> in = test.texts("in", false);
            List<String> notIn = test.texts("not_in", false);
            double least = test.number("least", -1e300, 1e300, -1e300);
            double most = test.number("most", -1e300, 1e300, 1e300);
            if (byText == byNumber || !in.isEmpty() && !notIn.isEmpty()) {
                test.fault("a test wants one of: in, not_in, or least and most");
            } else if (byNumber && least > most) {
                test.fault("'least' is above 'most'");
            }
            tests.add(byText ? new Layout.Test(name, in.isEmpty() ? notIn : in, in.isEmpty(), NONE, NONE)
                    : Layout.Test.between(name, least, most));
            test.close();
        }
        return tests;
    }

    // ---- the fleet ----

    private static Fleet fleet(Section section) {
        if (section == null) {
            return null;
        }
        List<Kind> kinds = new ArrayList<>();
        for (Section kind : section.all("kind")) {
            kinds.add(new Kind(kind.label(), (int) kind.number("cores", 1, 1024, NONE),
                    kind.number("memory_mb", 1, 1e9, NONE), false));
            kind.close();
        }
        List<String> zones = section.texts("zones", true);
        List<Spec> specs = engines(section, kinds, zones);
        if (kinds.isEmpty() || specs.isEmpty()) {
            section.fault("a fleet wants kinds and engines");
        }
        Section cold = section.one("cold");
        Section budget = section.one("budget");
        Fleet plain = Fleet.builtIn(1);
        Fleet fleet = new Fleet((int) section.whole("gateways", 1, 1000, 3),
                (int) section.whole("sockets", 32, 1 << 20, plain.sockets()), kinds, zones, specs,
                seconds(section, "notes_every_s", 0.01, plain.notesEvery()),
                cold == null ? plain.startCapacity() : cold.number("start_capacity", 0.01, 1, plain.startCapacity()),
                cold == null ? plain.warmWithin() : seconds(cold, "warm_within_s", 0, plain.warmWithin()),
                cold == null ? plain.fallMultiple() : cold.number("fall_multiple", 1, 100, plain.fallMultiple()),
                cold == null ? plain.fall() : seconds(cold, "fall_s", 0, plain.fall()),
                seconds(section, "drain_grace_s", 0, plain.drainGrace()),
                budget == null ? plain.extraFloor() : budget.number("floor", 0, 1e6, plain.extraFloor()),
                budget == null ? plain.furtherRatio() : budget.number("ratio", 0, 10, plain.furtherRatio()),
                budget == null ? plain.budgetSpan() : seconds(budget, "span_s", 0.1, plain.budgetSpan()),
                (int) section.whole("hops_most", 1, 100, plain.attemptsMost()),
                seconds(section, "come_back_s", 0, plain.comeBack()));
        if (cold != null) {
            cold.close();
        }
        if (budget != null) {
            budget.close();
        }
        section.close();
        return fleet;
    }

    private static long seconds(Section section, String name, double least, long otherwise) {
        return Math.round(section.number(name, least, DAY_S, otherwise / TENTHS_PER_S) * TENTHS_PER_S);
    }

    private static List<Spec> engines(Section fleet, List<Kind> kinds, List<String> zones) {
        List<Spec> specs = new ArrayList<>();
        List<String> kindNames = kinds.stream().map(Kind::name).toList();
        for (Section group : fleet.all("engines")) {
            String name = group.label();
            int kind = place(group, "kind", kindNames);
            int zone = place(group, "zone", zones);
            long count = group.whole("count", 1, 5000, 1);
            for (long i = 1; i <= count; i++) {
                specs.add(new Spec(name + i, kind, zone));
            }
            group.close();
        }
        if (specs.stream().map(Spec::name).distinct().count() < specs.size()) {
            fleet.fault("two engines have the same name");
        }
        return specs;
    }

    private static int place(Section section, String name, List<String> of) {
        String given = section.text(name, null);
        int place = of.indexOf(given);
        if (place < 0 && !given.isEmpty()) {
            section.faultAt(name, "there is no " + name + " '" + given + "'");
        }
        return Math.max(0, place);
    }

    // ---- tracks, troubles, replays ----

    private static List<Track> tracks(Section all) {
        List<Track> tracks = new ArrayList<>();
        for (Section section : all.all("track")) {
            String name = section.label();
            if (!name.matches("[A-Za-z0-9_-]{1,32}")) {
                section.fault("a track's name is of letters, digits, - and _, 32 at most");
            }
            if (tracks.stream().anyMatch(track -> track.name().equals(name))) {
                section.fault("a second track '" + name + "'");
            }
            Effect effect = section.choice("effect", null, Effect.class);
            long soft = Math.round(section.number("soft_limit_ms", 1, 1e7, NONE) * TENTHS_PER_MS);
            long hard = Math.round(section.number("hard_stop_ms", 1, 1e7, NONE) * TENTHS_PER_MS);
            if (hard < soft) {
                section.faultAt("hard_stop_ms", "'hard_stop_ms' is below 'soft_limit_ms'");
            }
            double payoff = section.number("payoff", 1e-6, 1e9, 1);
            tracks.add(new Track(name, effect, (int) section.whole("threads", 1, 1024, 1), soft, hard, payoff,
                    section.number("late_payoff", 0, payoff, 0), section.texts("kinds", false),
                    Math.round(section.number("mark_kept_ms", 0, 1e8, effect == Effect.RECEIPTED ? 20_000 : 0)
                            * TENTHS_PER_MS),
                    section.number("median_work_ms", 0.1, 1e7, NONE) * TENTHS_PER_MS,
                    tests(section, "rows", List.of())));
            section.close();
        }
        return tracks;
    }

    private static List<Trouble> troubles(Section all) {
        List<Trouble> troubles = new ArrayList<>();
        for (Section section : all.all("trouble")) {
            Trouble.What what = section.choice("what", null, Trouble.What.class);
            troubles.add(new Trouble(Math.round(section.number("at_s", 0, 1e7, NONE) * TENTHS_PER_S), what,
                    section.text("whom", null), Math.round(section.number("lasts_s", 0, 1e7, 2) * TENTHS_PER_S),
                    section.number("factor", 1, 1e6, what == Trouble.What.SLOW ? 4 : 1)));
            section.close();
        }
        return troubles;
    }

    private static Replaying replay(Section section) {
        if (section == null) {
            return null;
        }
        Replaying replay = new Replaying(section.number("load", 0.001, 10, 0.6),
                section.choice("scale", Plan.Scale.TIME, Plan.Scale.class),
                Math.round(section.number("window_s", 0, 1e7, 3600) * TENTHS_PER_S),
                section.number("estimate_error", 0, 5, 0.4), section.number("bad_most", 0, 1, 0.1),
                section.whole("seed", 0, 1L << 40, 1));
        section.close();
        return replay;
    }

    /** Names that lead from one part to another must be there. */
    private void checkNames(Section all) {
        if (fleet == null) {
            return;
        }
        for (Section track : all.all("track")) {
            for (String kind : track.texts("kinds", false)) {
                if (fleet.kindNamed(kind) < 0) {
                    track.faultAt("kinds", "there is no kind '" + kind + "' in the fleet");
                }
            }
        }
        for (Section trouble : all.all("trouble")) {
            String whom = trouble.text("whom", "?");
            boolean gateway = whom.matches("n[0-9]{1,4}") && Integer.parseInt(whom.substring(1)) < fleet.gateways();
            boolean killed = trouble.text("what", "?").equalsIgnoreCase("killed");
            if (killed && !gateway || !killed && fleet.engines().stream().noneMatch(e -> e.name().equals(whom))) {
                trouble.faultAt("whom", "there is no " + (killed ? "gateway" : "engine") + " '" + whom + "'");
            }
        }
    }
}
