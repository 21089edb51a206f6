package tillerlink.model;

import java.util.PriorityQueue;

/** When each submission is to be looked at next; setting an alarm anew replaces the one before. */
public final class RequestTimers {
  private record Alarm(long at, long order, Request submission) {}

  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long made;

  public void set(Request submission, long at) {
    submission.wakeAt = at;
    alarms.add(new Alarm(at, made++, submission));
  }

  /** The next submission that is due and still owed an answer, or null. */
  public Request due(long now) {
    while (!alarms.isEmpty() && alarms.peek().at <= now) {
      Alarm alarm = alarms.poll();
      Request submission = alarm.submission;
      if (submission.wakeAt == alarm.at && submission.ending == null) {
        submission.wakeAt = Long.MAX_VALUE;
        return submission;
      }
    }
    return null;
  }

  public long next() {
    return alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().at;
  }
}
