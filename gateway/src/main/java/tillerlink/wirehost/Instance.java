package tillerlink.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.plain.FlattenedConfig;
import tillerlink.plain.Units;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;

/** One gateway's door: ids become objects on the way in, objects ids on the way out. */
final class Instance implements DispatchActions {
  private static final int MODE_FAILED = 0;
  private static final int MODE_CACHED = 1;
  private static final int MODE_FULL = 3;

  private final int number;
  private final JsonGenerator actions;
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, Request> submissions = new HashMap<>();
  private final Map<String, KeyedRequestQueue> lines = new HashMap<>();
  private final DispatchPolicy steering;

  Instance(
      int number,
      long now,
      long seed,
      Map<String, Object> settings,
      DispatchPolicyFactory factory,
      JsonGenerator actions) {
    this.number = number;
    this.actions = actions;
    steering = factory.create(now, seed, FlattenedConfig.of(settings), this);
  }

  DispatchPolicy steering() {
    return steering;
  }

  /** Takes an event; false if it is none that this door knows. */
  boolean take(long now, Message event, List<Row> rows) {
    switch (event.name()) {
      case "BackendsChanged" -> listed(now, event, rows);
      case "Incoming" -> arrived(now, event);
      case "HeadReceived" -> {
        Attempt hop = hop(event.text(2, "tid"), event.number(5, "seq_no"));
        if (hop != null) {
          steering.onResponseStarted(now, hop);
        }
      }
      case "Change" -> noted(now, event);
      case "Reply" -> ended(now, event);
      case "Expired" -> left(now, event.text(2, "tid"));
      case "Timer" -> steering.onWakeup(now);
      case "Memo", "Pong" -> {}
      default -> {
        return false;
      }
    }
    return true;
  }

  private void listed(long now, Message event, List<Row> rows) {
    int mode = (int) event.number(2, "mode");
    if (mode == MODE_FAILED) {
      steering.onEndpointPollFailed(now);
      return;
    }
    List<EndpointUpdate> entries = new ArrayList<>(rows.size());
    for (Row row : rows) {
      Engine engine = engines.computeIfAbsent(row.engine(), Engine::new);
      entries.add(
          new EndpointUpdate(
              engine,
              row.kind(),
              row.zone(),
              row.cell(),
              row.weight(),
              row.standing(),
              row.startedAt()));
    }
    steering.onEndpointsChanged(now, mode == MODE_CACHED || mode == MODE_FULL, entries);
  }

  private void arrived(long now, Message event) {
    String id = event.text(2, "tid");
    String key = event.textOr(9, null);
    KeyedRequestQueue line =
        key == null ? null : lines.computeIfAbsent(key, k -> new KeyedRequestQueue());
    Request submission =
        new Request(
            id,
            (int) event.number(6, "band"),
            (int) event.numberOr(3, 0),
            event.flag(5),
            now,
            Units.toTenths(event.number(7, "deadline_us")),
            event.amountOr(10, 0) / Units.toMicros(1),
            event.amountOr(11, 0),
            line);
    submissions.put(id, submission);
    steering.onRequestArrived(now, submission);
  }

  private void noted(long now, Message event) {
    Attempt hop = hop(event.text(2, "tid"), event.number(6, "seq_no"));
    AttemptProgress note =
        switch ((int) event.numberOr(5, 0)) {
          case 1 -> AttemptProgress.PROGRESS;
          case 2 -> AttemptProgress.SPILLS;
          case 3 -> AttemptProgress.WAITS;
          default -> null;
        };
    if (hop != null && note != null) {
      steering.onAttemptProgress(now, hop, note, event.amountOr(3, 0));
    }
  }

  private void ended(long now, Message event) {
    Attempt hop = hop(event.text(2, "tid"), event.number(3, "seq_no"));
    if (hop == null || !hop.isOut()) {
      return;
    }
    long bill = event.numberOr(8, 0);
    steering.onAttemptEnded(
        now,
        hop,
        outcome(event.text(5, "how")),
        Units.toTenths(event.numberOr(6, 0)),
        event.flag(7),
        Units.billedWork(bill),
        Units.billedMemory(bill),
        event.report(9));
    forgetIfOver(hop.submission);
  }

  private static AttemptOutcome outcome(String how) {
    return switch (how) {
      case "completed" -> AttemptOutcome.FULFILLED;
      case "saturated" -> AttemptOutcome.FULL;
      case "overdue" -> AttemptOutcome.OVERDUE;
      case "refused_conn" -> AttemptOutcome.UNREACHABLE;
      case "severed" -> AttemptOutcome.SEVERED;
      case "recalled" -> AttemptOutcome.CALLED_OFF;
      case "superseded" -> AttemptOutcome.NEVER_SENT;
      default -> AttemptOutcome.ERRED;
    };
  }

  private void left(long now, String id) {
    Request submission = submissions.get(id);
    if (submission != null) {
      steering.onClientDisconnected(now, submission);
      forgetIfOver(submission);
    }
  }

  private Attempt hop(String id, long place) {
    Request submission = submissions.get(id);
    return submission == null || place < 0 || place >= submission.hops.size()
        ? null
        : submission.hops.get((int) place);
  }

  private void forgetIfOver(Request submission) {
    if (submission.isOver()) {
      submissions.remove((String) submission.tag);
    }
  }

  private interface Writing {
    void write() throws IOException;
  }

  private void write(String name, Writing rest) {
    try {
      actions.writeStartArray();
      actions.writeString(name);
      actions.writeNumber(number);
      rest.write();
      actions.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeTag(Object tag) throws IOException {
    actions.writeString((String) tag);
  }

  @Override
  public void updatePriorityAndGrant(Request submission, int rank, long grant) {
    write(
        "Provide",
        () -> {
          writeTag(submission.tag);
          actions.writeNumber(rank);
          actions.writeNumber(grant);
        });
  }

  @Override
  public void sendAttempt(Attempt hop) {
    write(
        "Try",
        () -> {
          writeTag(hop.submission.tag);
          actions.writeNumber(0);
          writeTag(hop.engine.tag);
        });
  }

  @Override
  public void cancelAttempt(Attempt hop) {
    write(
        "CallOff",
        () -> {
          writeTag(hop.submission.tag);
          actions.writeNumber(hop.number);
        });
  }

  @Override
  public void rejectRequest(Request submission, long comeBack) {
    write(
        "Decline",
        () -> {
          writeTag(submission.tag);
          actions.writeNumber(Units.toMicros(comeBack));
        });
    forgetIfOver(submission);
  }

  @Override
  public void failRequest(Request submission) {
    write("RespondError", () -> writeTag(submission.tag));
    forgetIfOver(submission);
  }

  @Override
  public void scheduleWakeup(long at) {
    write(
        "Arm",
        () -> {
          actions.writeNumber(Units.toMicros(at));
          actions.writeNumber(0);
        });
  }

  @Override
  public void watchEndpoints() {
    write("KeepInformed", () -> actions.writeBoolean(true));
  }

  @Override
  public void log(String line) {
    write("Log", () -> actions.writeString(line));
  }

  void panic(String line) {
    write("Panic", () -> actions.writeString(line));
  }
}
