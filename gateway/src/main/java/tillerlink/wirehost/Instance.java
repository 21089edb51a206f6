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
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, KeyedRequestQueue> lines = new HashMap<>();
  private final DispatchPolicy policy;

  Instance(
      int number,
      long now,
      long seed,
      Map<String, Object> settings,
      DispatchPolicyFactory factory,
      JsonGenerator actions) {
    this.number = number;
    this.actions = actions;
    policy = factory.create(now, seed, FlattenedConfig.of(settings), this);
  }

  DispatchPolicy policy() {
    return policy;
  }

  /** Takes an event; false if it is none that this door knows. */
  boolean take(long now, Message event, List<Row> rows) {
    switch (event.name()) {
      case "BackendsChanged" -> listed(now, event, rows);
      case "Incoming" -> arrived(now, event);
      case "HeadReceived" -> {
        Attempt attempt = attempt(event.text(2, "tid"), event.number(5, "seq_no"));
        if (attempt != null) {
          policy.onResponseStarted(now, attempt);
        }
      }
      case "Change" -> noted(now, event);
      case "Reply" -> ended(now, event);
      case "Expired" -> left(now, event.text(2, "tid"));
      case "Timer" -> policy.onWakeup(now);
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
      policy.onEndpointPollFailed(now);
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
    policy.onEndpointsChanged(now, mode == MODE_CACHED || mode == MODE_FULL, entries);
  }

  private void arrived(long now, Message event) {
    String id = event.text(2, "tid");
    String key = event.textOr(9, null);
    KeyedRequestQueue line =
        key == null ? null : lines.computeIfAbsent(key, k -> new KeyedRequestQueue());
    Request request =
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
    requests.put(id, request);
    policy.onRequestArrived(now, request);
  }

  private void noted(long now, Message event) {
    Attempt attempt = attempt(event.text(2, "tid"), event.number(6, "seq_no"));
    AttemptProgress note =
        switch ((int) event.numberOr(5, 0)) {
          case 1 -> AttemptProgress.PROGRESS;
          case 2 -> AttemptProgress.SPILLS;
          case 3 -> AttemptProgress.WAITS;
          default -> null;
        };
    if (attempt != null && note != null) {
      policy.onAttemptProgress(now, attempt, note, event.amountOr(3, 0));
    }
  }

  private void ended(long now, Message event) {
    Attempt attempt = attempt(event.text(2, "tid"), event.number(3, "seq_no"));
    if (attempt == null || !attempt.isInFlight()) {
      return;
    }
    long bill = event.numberOr(8, 0);
    policy.onAttemptEnded(
        now,
        attempt,
        outcome(event.text(5, "how")),
        Units.toTenths(event.numberOr(6, 0)),
        event.flag(7),
        Units.billedWork(bill),
        Units.billedMemory(bill),
        event.report(9));
    forgetIfOver(attempt.request);
  }

  private static AttemptOutcome outcome(String how) {
    return switch (how) {
      case "completed" -> AttemptOutcome.SUCCEEDED;
      case "saturated" -> AttemptOutcome.REJECTED;
      case "overdue" -> AttemptOutcome.TIMED_OUT;
      case "refused_conn" -> AttemptOutcome.CONNECT_FAILED;
      case "severed" -> AttemptOutcome.CONNECTION_LOST;
      case "recalled" -> AttemptOutcome.CANCELLED;
      case "superseded" -> AttemptOutcome.NOT_SENT;
      default -> AttemptOutcome.FAILED;
    };
  }

  private void left(long now, String id) {
    Request request = requests.get(id);
    if (request != null) {
      policy.onClientDisconnected(now, request);
      forgetIfOver(request);
    }
  }

  private Attempt attempt(String id, long place) {
    Request request = requests.get(id);
    return request == null || place < 0 || place >= request.attempts.size()
        ? null
        : request.attempts.get((int) place);
  }

  private void forgetIfOver(Request request) {
    if (request.isOver()) {
      requests.remove((String) request.tag);
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
  public void updatePriorityAndGrant(Request request, int rank, long grant) {
    write(
        "Provide",
        () -> {
          writeTag(request.tag);
          actions.writeNumber(rank);
          actions.writeNumber(grant);
        });
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    write(
        "Try",
        () -> {
          writeTag(attempt.request.tag);
          actions.writeNumber(0);
          writeTag(attempt.engine.tag);
        });
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    write(
        "CallOff",
        () -> {
          writeTag(attempt.request.tag);
          actions.writeNumber(attempt.number);
        });
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    write(
        "Decline",
        () -> {
          writeTag(request.tag);
          actions.writeNumber(Units.toMicros(retryAfter));
        });
    forgetIfOver(request);
  }

  @Override
  public void failRequest(Request request) {
    write("RespondError", () -> writeTag(request.tag));
    forgetIfOver(request);
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
