package tillerlink.statements.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;

/**
 * The component of a voter that serves committed entries to learners, the gateways that do not
 * vote. Times are in tenths of a millisecond.
 */
final class LearnerService {
  private static final int LEARNERS_MAX = 1024;

  /** Time since a learner's last fetch after which it is no longer notified. */
  private static final long LEARNER_TIMEOUT = 50_000;

  /** Upper bound on the bytes of entries in one response. */
  private static final int RESPONSE_ENTRY_BYTES_MAX = 8000;

  private final Outbox outbox;

  /** The time of each learner's last fetch, the least recent first. */
  private final Map<String, Long> learners = new LinkedHashMap<>();

  LearnerService(Outbox outbox) {
    this.outbox = outbox;
  }

  void onFetch(long now, String from, Fetch fetch, Log log, long applied) {
    learners.remove(from);
    learners.put(from, now);
    if (learners.size() > LEARNERS_MAX) {
      learners.remove(learners.keySet().iterator().next());
    }
    long first = fetch.from();
    Committed response =
        first <= log.base()
            ? new Committed(
                first, List.of(), applied, log.snapshot().index(), log.snapshotBytes().length)
            : new Committed(
                first, log.entriesFrom(first, applied, RESPONSE_ENTRY_BYTES_MAX), applied, 0, 0);
    outbox.send(from, response);
  }

  /** Notifies the learners that more entries are committed, and forgets those that timed out. */
  void onApplied(long now, long applied) {
    for (Iterator<Map.Entry<String, Long>> each = learners.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Long> learner = each.next();
      if (now - learner.getValue() > LEARNER_TIMEOUT) {
        each.remove();
      } else {
        outbox.send(learner.getKey(), new Committed(applied + 1, List.of(), applied, 0, 0));
      }
    }
  }
}
