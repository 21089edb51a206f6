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
import tillerlink.fleet.ScheduledFault;
import tillerlink.trace.RowCounts;
import tillerlink.trace.SkipReason;

/** Writes the result of a replay as JSON. Equal replays in virtual time give identical bytes. */
public final class JsonReport {
  private static final double TICKS_PER_SECOND = ReplayMetrics.SECOND;

  private static final int MAX_VIOLATIONS = 10;
  private static final double TICKS_PER_MS = 10;

  private JsonReport() {}

  /**
   * Writes the report to a file.
   *
   * @throws IOException if the file cannot be written
   */
  public static void write(ReplayResult result, Path file) throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.useDefaultPrettyPrinter();
      json.writeStartObject();
      json.writeStringField(
          "figures_of",
          result.lag() == null
              ? "emulated engines, in virtual time"
              : "stand-in engines, over sockets");
      json.writeStringField("policy", result.config().policyName());
      json.writeStringField("layout", result.config().layout().name());
      json.writeNumberField("seed", result.config().seed());
      json.writeNumberField("gateways", result.config().fleet().gateways());
      json.writeNumberField("engines", result.config().fleet().engines().size());
      json.writeNumberField("cores", (long) result.config().fleet().cores());
      if (result.lag() != null) {
        json.writeObjectFieldStart("lag_ms");
        writeDecimal(json, "half", result.lag().getValueAtPercentile(50) / TICKS_PER_MS);
        writeDecimal(json, "99_of_100", result.lag().getValueAtPercentile(99) / TICKS_PER_MS);
        writeDecimal(json, "most", result.lag().getMaxValue() / TICKS_PER_MS);
        json.writeBooleanField("figure_counts", result.loadWasInTime());
        json.writeEndObject();
      }
      writeRows(json, result.arrivals());
      writeScaling(json, result);
      writeService(json, result);
      writeViolations(json, result);
      json.writeArrayFieldStart("timeline");
      for (String line : result.cluster().incidents()) {
        json.writeString(line.strip());
      }
      json.writeEndArray();
      writeUtilization(json, result);
      writeSeries(json, result.metrics().series());
      json.writeEndObject();
    }
  }

  private static void writeDecimal(JsonGenerator json, String name, double value)
      throws IOException {
    json.writeFieldName(name);
    json.writeNumber(Double.isNaN(value) ? "null" : String.format(Locale.ROOT, "%.4f", value));
  }

  private static void writeRows(JsonGenerator json, ArrivalSource arrivals) throws IOException {
    RowCounts counts = arrivals.counts();
    json.writeObjectFieldStart("rows");
    json.writeNumberField("read", counts.rowsRead());
    json.writeNumberField("used", counts.rowsUsed());
    json.writeNumberField("bad", counts.bad());
    json.writeNumberField("behind_a_later_one", counts.rowsOutOfOrder());
    json.writeNumberField("went_out_before_the_window", arrivals.releasedEarly());
    json.writeObjectFieldStart("skipped");
    for (SkipReason reason : SkipReason.values()) {
      if (counts.skipped(reason) > 0) {
        json.writeObjectFieldStart(reason.word());
        json.writeNumberField("rows", counts.skipped(reason));
        json.writeArrayFieldStart("first");
        for (RowCounts.Place place : counts.places(reason)) {
          json.writeString(place.toString());
        }
        json.writeEndArray();
        json.writeEndObject();
      }
    }
    json.writeEndObject();
    json.writeBooleanField("adds_up", counts.addsUp());
    json.writeEndObject();
  }

  private static void writeScaling(JsonGenerator json, ReplayResult result) throws IOException {
    ArrivalSource arrivals = result.arrivals();
    json.writeObjectFieldStart("scaling");
    writeDecimal(json, "load_wanted", result.config().load());
    json.writeStringField("by", result.config().scale().name().toLowerCase(Locale.ROOT));
    writeDecimal(json, "trace_time_per_time", arrivals.scaling().timeCompression());
    writeDecimal(json, "share_of_jobs", arrivals.scaling().jobShare());
    json.writeNumberField("tasks_sampled_out", arrivals.sampledOut());
    json.writeNumberField("tasks_of_no_track", arrivals.noRequestClass());
    json.writeObjectFieldStart("work_times");
    for (int i = 0; i < result.config().requestClasses().size(); i++) {
      json.writeFieldName(result.config().requestClasses().get(i).name());
      json.writeNumber(String.format(Locale.ROOT, "%.6f", arrivals.scaling().factor(i)));
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private static void writeService(JsonGenerator json, ReplayResult result) throws IOException {
    ReplayMetrics metrics = result.metrics();
    json.writeObjectFieldStart("service");
    writeDecimal(json, "whole", metrics.whole());
    writeDecimal(json, "worst_10_s", metrics.worstWindow());
    writeDecimal(json, "worst_10_s_from", metrics.worstWindowStart() / TICKS_PER_SECOND);
    writeDecimal(json, "worst_track", metrics.worstRequestClass());
    writeDecimal(json, "seconds", result.lasted() / TICKS_PER_SECOND);
    json.writeNumberField("arrived", metrics.arrived());
    for (End end : End.values()) {
      json.writeNumberField(end.name().toLowerCase(Locale.ROOT), metrics.ended(end));
    }
    json.writeBooleanField("adds_up", metrics.addsUp());
    json.writeNumberField("hops", result.auditor().attempts());
    json.writeNumberField("further_hops", result.auditor().retries());
    json.writeObjectFieldStart("tracks");
    for (ReplayMetrics.RequestClassMetrics requestClass : metrics.requestClasses()) {
      json.writeObjectFieldStart(requestClass.requestClass().name());
      json.writeNumberField("arrived", requestClass.arrived());
      for (End end : End.values()) {
        json.writeNumberField(end.name().toLowerCase(Locale.ROOT), requestClass.ended(end));
      }
      writeDecimal(json, "served", requestClass.served());
      writeDecimal(json, "ms_half", requestClass.timeMs(50));
      writeDecimal(json, "ms_99_of_100", requestClass.timeMs(99));
      json.writeEndObject();
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private static void writeViolations(JsonGenerator json, ReplayResult result) throws IOException {
    json.writeObjectFieldStart("rules_broken");
    for (Map.Entry<Rule, Long> count : result.auditor().counts().entrySet()) {
      json.writeNumberField(count.getKey().name().toLowerCase(Locale.ROOT), count.getValue());
    }
    json.writeEndObject();
    json.writeArrayFieldStart("first_breaches");
    List<Violation> violations = result.auditor().violations();
    for (Violation violation : violations.subList(0, Math.min(MAX_VIOLATIONS, violations.size()))) {
      json.writeString(result.sinceStart(violation.at()) + " s " + violation.what());
    }
    json.writeEndArray();
    writeDecimal(json, "cold_engine_most", result.auditor().maxSlowStartLoad());
    json.writeArrayFieldStart("troubles");
    for (ScheduledFault fault : result.config().troubles()) {
      json.writeString(
          String.format(
              Locale.ROOT,
              "%.1f s %s %s for %.1f s",
              fault.at() / TICKS_PER_SECOND,
              fault.what().name().toLowerCase(Locale.ROOT),
              fault.whom(),
              fault.lasts() / TICKS_PER_SECOND));
    }
    json.writeEndArray();
  }

  private static void writeUtilization(JsonGenerator json, ReplayResult result) throws IOException {
    json.writeObjectFieldStart("busy_share_by_engine");
    for (Map.Entry<String, Double> engine :
        result.cluster().utilization(result.lasted()).entrySet()) {
      writeDecimal(json, engine.getKey(), engine.getValue());
    }
    json.writeEndObject();
  }

  private static void writeSeries(JsonGenerator json, TimeSeries series) throws IOException {
    json.writeObjectFieldStart("series");
    writeDecimal(json, "seconds_a_bin", series.span() / TICKS_PER_SECOND);
    writeCounts(json, "arrived", series, 0);
    for (End end : End.values()) {
      writeCounts(json, end.name().toLowerCase(Locale.ROOT), series, ReplayMetrics.seriesOf(end));
    }
    json.writeEndObject();
  }

  private static void writeCounts(JsonGenerator json, String name, TimeSeries series, int kind)
      throws IOException {
    json.writeArrayFieldStart(name);
    for (int i = 0; i < series.bins(); i++) {
      json.writeNumber(series.count(kind, i));
    }
    json.writeEndArray();
  }
}
