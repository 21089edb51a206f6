package tillerlink.statements.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;

/** Lets gateways that don't vote have what is committed. */
final class LearnerService {
  private static final int LEARNERS_MOST = 1024;
  private static final long REMEMBERED = 50_000;
  private static final int BYTES = 8000;

  private final Outbox out;

  /** Who asked of late, the longest ago first. */
  private final Map<String, Long> learners = new LinkedHashMap<>();

  LearnerService(Outbox out) {
    this.out = out;
  }

  void fetched(long now, String from, Fetch fetch, Log log, long applied) {
    learners.remove(from);
    learners.put(from, now);
    if (learners.size() > LEARNERS_MOST) {
      learners.remove(learners.keySet().iterator().next());
    }
    if (fetch.from() <= log.base()) {
      out.send(
          from,
          new Committed(
              fetch.from(),
              List.of(),
              applied,
              log.snapshot().index(),
              log.snapshotBytes().length));
    } else {
      out.send(
          from, new Committed(fetch.from(), log.from(fetch.from(), applied, BYTES), applied, 0, 0));
    }
  }

  /** Tells those that asked of late that there is more. */
  void moved(long now, long applied) {
    for (Iterator<Map.Entry<String, Long>> each = learners.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Long> learner = each.next();
      if (now - learner.getValue() > REMEMBERED) {
        each.remove();
      } else {
        out.send(learner.getKey(), new Committed(applied + 1, List.of(), applied, 0, 0));
      }
    }
  }
}
