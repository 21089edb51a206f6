package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Plain requests, as clients and engines saw them. */
final class Requests {
  private static final int FULFILLED = 200;
  private static final int TURNED_BACK = 503;

  private static final class One {
    private final String statement;
    private final boolean effectful;
    private Integer status;
    private boolean excused;
    private int ran;

    One(String statement, boolean effectful) {
      this.statement = statement;
      this.effectful = effectful;
    }
  }

  private final Violations violations;
  private final Map<String, One> byId = new TreeMap<>();
  private final Map<String, One> byStatement = new HashMap<>();

  Requests(Violations violations) {
    this.violations = violations;
  }

  void handedIn(String id, String statement, boolean effectful) {
    One one = new One(statement, effectful);
    byId.put(id, one);
    byStatement.put(statement, one);
  }

  void ran(String engine, String statement) {
    One one = byStatement.get(statement);
    if (one != null && ++one.ran > 1 && one.effectful) {
      violations.add(Rule.RUN_TWICE, engine + " ran '" + statement + "' for the time " + one.ran);
    }
  }

  void answered(String id, int status) {
    One one = byId.get(id);
    if (one.status != null) {
      violations.add(Rule.ONE_ANSWER, id + " was answered " + one.status + " and then " + status);
    }
    one.status = status;
  }

  /**
   * Its client saw the connection break, or its gateway was stopped or killed: it may stay without
   * an answer.
   */
  void excused(String id) {
    byId.get(id).excused = true;
  }

  int count() {
    return byId.size();
  }

  void end() {
    byId.forEach(
        (id, one) -> {
          if (one.status == null && !one.excused) {
            violations.add(Rule.ONE_ANSWER, id + " ('" + one.statement + "') was never answered");
          } else if (one.status != null && one.status == FULFILLED && one.ran == 0) {
            violations.add(Rule.ANSWER_UNTRUE, id + " was fulfilled, but no engine ran it");
          } else if (one.status != null
              && one.status == TURNED_BACK
              && one.effectful
              && one.ran > 0) {
            violations.add(Rule.ANSWER_UNTRUE, id + " was turned back, but an engine ran it");
          }
        });
  }
}
