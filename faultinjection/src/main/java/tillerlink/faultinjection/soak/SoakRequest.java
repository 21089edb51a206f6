package tillerlink.faultinjection.soak;

import java.util.ArrayList;
import java.util.List;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/** The state of a request in the oracle, with its attempts. Times are milliseconds. */
final class SoakRequest {
  /** An attempt, with its outcome at the engine, or null while it is in flight. */
  static final class Run {
    final SoakOracle.Attempt attempt;
    SoakOracle.End end;

    Run(SoakOracle.Attempt attempt) {
      this.attempt = attempt;
    }
  }

  final int gateway;
  final RequestClass requestClass;
  final String subject;
  final double submittedAt;
  final double deadline;
  final List<Run> runs = new ArrayList<>();

  /** The final response, or null. */
  SoakOracle.Answer answer;

  /** The time at which the client cancelled the request or disconnected. */
  double disconnectedAt = Double.MAX_VALUE;

  /** Whether the request may correctly stay without a response. */
  boolean excused;

  SoakRequest(
      int gateway, RequestClass requestClass, String subject, double submittedAt, double deadline) {
    this.gateway = gateway;
    this.requestClass = requestClass;
    this.subject = subject;
    this.submittedAt = submittedAt;
    this.deadline = deadline;
  }

  /** Returns whether the client still waits for a response. */
  boolean isOpen() {
    return answer == null && disconnectedAt == Double.MAX_VALUE;
  }

  /** Returns whether the client still waits and an attempt has not ended at its engine. */
  boolean isInFlight() {
    return isOpen() && runs.stream().anyMatch(run -> run.end == null);
  }
}
