package tillerlink.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.audit.Rule;
import tillerlink.audit.Violation;
import tillerlink.fleet.Trouble;
import tillerlink.trace.RowCounts;
import tillerlink.trace.SkipReason;

/** What a replay found, as JSON that is the same to the byte whenever the same is replayed. */
public final class Report {
  private static final double SECOND = Figures.SECOND;

  private Report() {}

  public static void write(Played run, Path file) throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.useDefaultPrettyPrinter();
      json.writeStartObject();
      json.writeStringField(
          "figures_of",
          run.lag() == null
              ? "emulated engines, in virtual time"
              : "stand-in engines, over sockets");
      json.writeStringField("policy", run.job().policyName());
      json.writeStringField("layout", run.job().layout().name());
      json.writeNumberField("seed", run.job().seed());
      json.writeNumberField("gateways", run.job().fleet().gateways());
      json.writeNumberField("engines", run.job().fleet().engines().size());
      json.writeNumberField("cores", (long) run.job().fleet().cores());
      if (run.lag() != null) {
        json.writeObjectFieldStart("lag_ms");
        number(json, "half", run.lag().getValueAtPercentile(50) / 10.0);
        number(json, "99_of_100", run.lag().getValueAtPercentile(99) / 10.0);
        number(json, "most", run.lag().getMaxValue() / 10.0);
        json.writeBooleanField("figure_counts", run.inTime());
        json.writeEndObject();
      }
      rows(json, run.arrivals());
      scaling(json, run);
      service(json, run);
      rules(json, run);
      json.writeArrayFieldStart("timeline");
      for (String line : run.cluster().incidents()) {
        json.writeString(line.strip());
      }
      json.writeEndArray();
      engines(json, run);
      series(json, run.figures().series());
      json.writeEndObject();
    }
  }

  private static void number(JsonGenerator json, String name, double value) throws IOException {
    json.writeFieldName(name);
    json.writeNumber(Double.isNaN(value) ? "null" : String.format(Locale.ROOT, "%.4f", value));
  }

  private static void rows(JsonGenerator json, Arrivals arrivals) throws IOException {
    RowCounts tally = arrivals.tally();
    json.writeObjectFieldStart("rows");
    json.writeNumberField("read", tally.rowsRead());
    json.writeNumberField("used", tally.rowsUsed());
    json.writeNumberField("bad", tally.bad());
    json.writeNumberField("behind_a_later_one", tally.rowsOutOfOrder());
    json.writeNumberField("went_out_before_the_window", arrivals.early());
    json.writeObjectFieldStart("skipped");
    for (SkipReason cause : SkipReason.values()) {
      if (tally.skipped(cause) > 0) {
        json.writeObjectFieldStart(cause.word());
        json.writeNumberField("rows", tally.skipped(cause));
        json.writeArrayFieldStart("first");
        for (RowCounts.Place place : tally.places(cause)) {
          json.writeString(place.toString());
        }
        json.writeEndArray();
        json.writeEndObject();
      }
    }
    json.writeEndObject();
    json.writeBooleanField("adds_up", tally.addsUp());
    json.writeEndObject();
  }

  private static void scaling(JsonGenerator json, Played run) throws IOException {
    Arrivals arrivals = run.arrivals();
    json.writeObjectFieldStart("scaling");
    number(json, "load_wanted", run.job().load());
    json.writeStringField("by", run.job().scale().name().toLowerCase(Locale.ROOT));
    number(json, "trace_time_per_time", arrivals.plan().timeCompression());
    number(json, "share_of_jobs", arrivals.plan().jobShare());
    json.writeNumberField("tasks_sampled_out", arrivals.sampledOut());
    json.writeNumberField("tasks_of_no_track", arrivals.noRequestClass());
    json.writeObjectFieldStart("work_times");
    for (int i = 0; i < run.job().requestClasses().size(); i++) {
      json.writeFieldName(run.job().requestClasses().get(i).name());
      json.writeNumber(String.format(Locale.ROOT, "%.6f", arrivals.plan().factor(i)));
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private static void service(JsonGenerator json, Played run) throws IOException {
    Figures figures = run.figures();
    json.writeObjectFieldStart("service");
    number(json, "whole", figures.whole());
    number(json, "worst_10_s", figures.worstWindow());
    number(json, "worst_10_s_from", figures.worstWindowFrom() / SECOND);
    number(json, "worst_track", figures.worstRequestClass());
    number(json, "seconds", run.lasted() / SECOND);
    json.writeNumberField("arrived", figures.arrived());
    for (End how : End.values()) {
      json.writeNumberField(how.name().toLowerCase(Locale.ROOT), figures.ended(how));
    }
    json.writeBooleanField("adds_up", figures.addsUp());
    json.writeNumberField("hops", run.auditor().attempts());
    json.writeNumberField("further_hops", run.auditor().retries());
    json.writeObjectFieldStart("tracks");
    for (Figures.OfRequestClass of : figures.requestClasses()) {
      json.writeObjectFieldStart(of.requestClass().name());
      json.writeNumberField("arrived", of.arrived());
      for (End how : End.values()) {
        json.writeNumberField(how.name().toLowerCase(Locale.ROOT), of.ended(how));
      }
      number(json, "served", of.served());
      number(json, "ms_half", of.timeMs(50));
      number(json, "ms_99_of_100", of.timeMs(99));
      json.writeEndObject();
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private static void rules(JsonGenerator json, Played run) throws IOException {
    json.writeObjectFieldStart("rules_broken");
    for (Map.Entry<Rule, Long> count : run.auditor().counts().entrySet()) {
      json.writeNumberField(count.getKey().name().toLowerCase(Locale.ROOT), count.getValue());
    }
    json.writeEndObject();
    json.writeArrayFieldStart("first_breaches");
    List<Violation> violations = run.auditor().violations();
    for (Violation violation : violations.subList(0, Math.min(10, violations.size()))) {
      json.writeString(run.sinceStart(violation.at()) + " s " + violation.what());
    }
    json.writeEndArray();
    number(json, "cold_engine_most", run.auditor().coldMost());
    json.writeArrayFieldStart("troubles");
    for (Trouble trouble : run.job().troubles()) {
      json.writeString(
          String.format(
              Locale.ROOT,
              "%.1f s %s %s for %.1f s",
              trouble.at() / SECOND,
              trouble.what().name().toLowerCase(Locale.ROOT),
              trouble.whom(),
              trouble.lasts() / SECOND));
    }
    json.writeEndArray();
  }

  private static void engines(JsonGenerator json, Played run) throws IOException {
    json.writeObjectFieldStart("busy_share_by_engine");
    for (Map.Entry<String, Double> engine : run.cluster().utilization(run.lasted()).entrySet()) {
      number(json, engine.getKey(), engine.getValue());
    }
    json.writeEndObject();
  }

  private static void series(JsonGenerator json, Series series) throws IOException {
    json.writeObjectFieldStart("series");
    number(json, "seconds_a_bin", series.span() / SECOND);
    counts(json, "arrived", series, 0);
    for (End how : End.values()) {
      counts(json, how.name().toLowerCase(Locale.ROOT), series, 1 + how.ordinal());
    }
    json.writeEndObject();
  }

  private static void counts(JsonGenerator json, String name, Series series, int kind)
      throws IOException {
    json.writeArrayFieldStart(name);
    for (int i = 0; i < series.bins(); i++) {
      json.writeNumber(series.count(kind, i));
    }
    json.writeEndArray();
  }
}
