package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Checks plain requests, as clients and engines saw them. */
final class RequestChecker {
  private static final int SUCCEEDED = 200;
  private static final int REJECTED = 503;

  private static final class TrackedRequest {
    private final String statement;
    private final boolean effectful;
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
          Rule.RUN_TWICE, engine + " ran '" + statement + "' for the time " + request.timesRun);
    }
  }

  void answered(String id, int status) {
    TrackedRequest request = byId.get(id);
    if (request.status != null) {
      violations.add(
          Rule.ONE_ANSWER, id + " was answered " + request.status + " and then " + status);
    }
    request.status = status;
  }

  /**
   * The request may stay without a response: its connection broke, or its gateway was stopped or
   * killed.
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
                Rule.ONE_ANSWER, id + " ('" + request.statement + "') was never answered");
          } else if (Objects.equals(request.status, SUCCEEDED) && request.timesRun == 0) {
            violations.add(Rule.ANSWER_UNTRUE, id + " was fulfilled, but no engine ran it");
          } else if (Objects.equals(request.status, REJECTED)
              && request.effectful
              && request.timesRun > 0) {
            violations.add(Rule.ANSWER_UNTRUE, id + " was turned back, but an engine ran it");
          }
        });
  }
}
