package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Checks plain requests, from the observations of clients and engines. */
final class RequestChecker {
  private static final int SUCCEEDED = 200;
  private static final int REJECTED = 503;

  /** A request with the observations of its client and of the engines. */
  private static final class TrackedRequest {
    private final String statement;
    private final boolean effectful;

    /** The status of the final response, or null. */
    private Integer status;

    private boolean excused;
    private int timesRun;

    TrackedRequest(String statement, boolean effectful) {
      this.statement = statement;
      this.effectful = effectful;
    }
  }

  private final Violations violations;
  private final Map<String, TrackedRequest> byId = new TreeMap<>();
  private final Map<String, TrackedRequest> byStatement = new HashMap<>();

  RequestChecker(Violations violations) {
    this.violations = violations;
  }

  void submitted(String id, String statement, boolean effectful) {
    TrackedRequest request = new TrackedRequest(statement, effectful);
    byId.put(id, request);
    byStatement.put(statement, request);
  }

  void ran(String engine, String statement) {
    TrackedRequest request = byStatement.get(statement);
    if (request != null && ++request.timesRun > 1 && request.effectful) {
      violations.add(
          Rule.RUN_TWICE,
          engine + " ran '" + statement + "' again, run number " + request.timesRun);
    }
  }

  void answered(String id, int status) {
    TrackedRequest request = byId.get(id);
    if (request.status != null) {
      violations.add(
          Rule.ONE_ANSWER, id + " got two final responses, " + request.status + " and " + status);
    }
    request.status = status;
  }

  /**
   * Records that a request may stay without a response, because its connection broke or its gateway
   * was stopped or killed.
   */
  void excused(String id) {
    byId.get(id).excused = true;
  }

  int count() {
    return byId.size();
  }

  void end() {
    byId.forEach(
        (id, request) -> {
          if (request.status == null && !request.excused) {
            violations.add(
                Rule.ONE_ANSWER, id + " ('" + request.statement + "') got no final response");
          } else if (Objects.equals(request.status, SUCCEEDED) && request.timesRun == 0) {
            violations.add(Rule.ANSWER_UNTRUE, id + " succeeded, but no engine ran it");
          } else if (Objects.equals(request.status, REJECTED)
              && request.effectful
              && request.timesRun > 0) {
            violations.add(
                Rule.ANSWER_UNTRUE, id + " was rejected as not executed, but an engine ran it");
          }
        });
  }
}
