package tillerlink.faultinjection.soak;

import java.util.ArrayList;
import java.util.List;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/** A request as the oracle tracks it, with its attempts. */
final class SoakRequest {
  /** An attempt, and how it ended at its engine, or null. */
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

  /** When its client cancelled it or disconnected. */
  double disconnectedAt = Double.MAX_VALUE;

  /** Whether it may rightly stay without a response. */
  boolean excused;

  SoakRequest(
      int gateway, RequestClass requestClass, String subject, double submittedAt, double deadline) {
    this.gateway = gateway;
    this.requestClass = requestClass;
    this.subject = subject;
    this.submittedAt = submittedAt;
    this.deadline = deadline;
  }

  boolean isOpen() {
    return answer == null && disconnectedAt == Double.MAX_VALUE;
  }

  boolean isInFlight() {
    return isOpen() && runs.stream().anyMatch(run -> run.end == null);
  }
}
