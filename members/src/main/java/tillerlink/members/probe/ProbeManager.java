package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.SuspicionLevel;

/**
 * Questions under way. A member is asked with news, then bare (a link may carry small messages
 * only), then through others; if nobody gets an answer all of it is done once more before it is
 * accused.
 */
public final class ProbeManager {
  /** That many at once, answered ones counted that may still be answered again. */
  public static final int MOST = 128;

  /** What is to be done. */
  public interface Steps {
    void ask(Probe about, boolean bare);

    /**
     * @return how many were asked
     */
    int askOthers(Probe about);

    /** Whether others accuse it already. */
    boolean suspected(Probe about);

    /** Only others got an answer. */
    void onlyOthers(Probe about);

    void missed(Probe about);
  }

  private static final int STEPS_EACH_ROUND = 3;
  private static final int ROUNDS_MOST = 6;

  /** Local health gets worse by no more for one question. */
  private static final int SILENT_MOST = 2;

  private final MembershipConfig periods;
  private final LocalHealth health;
  private final RandomGenerator random;
  private final Steps steps;
  private final Map<Long, Probe> tries = new LinkedHashMap<>();
  private long usualTrip;

  public ProbeManager(
      MembershipConfig periods, LocalHealth health, RandomGenerator random, Steps steps) {
    this.periods = periods;
    this.health = health;
    this.random = random;
    this.steps = steps;
  }

  public int size() {
    return tries.size();
  }

  /** Whether one is under way to that name. */
  public boolean underWay(String name) {
    for (Probe any : tries.values()) {
      if (!any.done && any.name.equals(name)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Starts to ask somebody.
   *
   * @param trip how long its answers took of late; 0 if that is not known
   */
  public void start(
      Probe.Kind kind, String name, String address, SuspicionLevel doubt, long trip, long now) {
    if (tries.size() >= MOST && !dropDone()) {
      return;
    }
    Probe about = new Probe(kind, number(), name, address, doubt, now, trip);
    tries.put(about.number, about);
    Invariant.holds(tries.size() <= MOST, () -> "questions under way: " + tries.size());
    step(about, now);
  }

  private long number() {
    long number = random.nextLong() & -Probe.SENDS;
    return number == 0 || tries.containsKey(number) ? number() : number;
  }

  private boolean dropDone() {
    Iterator<Probe> all = tries.values().iterator();
    while (all.hasNext()) {
      if (all.next().done) {
        all.remove();
        return true;
      }
    }
    return false;
  }

  /**
   * An answer came: what it answers, also if it is late; null if nothing, or if another was asked.
   */
  public Probe answered(long number, String from, long now) {
    Probe about = tries.get(number & -Probe.SENDS);
    if (about == null || !about.name.isEmpty() && !about.name.equals(from)) {
      return null;
    }
    if (!about.done && about.kind == Probe.Kind.MEMBER) {
      health.better();
    }
    finish(about, now);
    long took =
        Math.min(now - about.sentAt((int) (number & Probe.SENDS - 1)), periods.maxProbeTimeout());
    about.took = took;
    // Slower links are believed soon, faster ones only after a while.
    usualTrip = took > usualTrip ? (usualTrip + took) / 2 : (7 * usualTrip + took) / 8;
    return about;
  }

  /** Another says whether it got an answer; null if nobody asked. */
  public Probe vouched(long number, boolean reached) {
    Probe about = tries.get(number & -Probe.SENDS);
    if (about == null || about.relays == 0) {
      return null;
    }
    if (reached) {
      about.vouched = true;
    } else {
      about.refusals++;
    }
    return about;
  }

  public void turn(long now) {
    List<Probe> due = new ArrayList<>();
    for (Probe about : tries.values()) {
      if (about.nextAt <= now) {
        due.add(about);
      }
    }
    due.forEach(about -> step(about, now));
  }

  public long dueAt() {
    long due = Long.MAX_VALUE;
    for (Probe about : tries.values()) {
      due = Math.min(due, about.nextAt);
    }
    return due;
  }

  /**
   * What was under way is not counted for anything: the answers may have waited where this process
   * did not read.
   */
  public void away() {
    tries.clear();
  }

  private void step(Probe about, long now) {
    if (about.done) {
      tries.remove(about.number);
      return;
    }
    if (about.kind != Probe.Kind.MEMBER) {
      stepOfOthers(about, now);
      return;
    }
    switch (about.step % STEPS_EACH_ROUND) {
      case 0 -> ask(about, now, 1);
      case 1 -> {
        send(about, now, true);
        next(about, now, 1);
      }
      default -> {
        about.relays += steps.askOthers(about);
        send(about, now, true);
        next(about, now, 2);
      }
    }
  }

  /** The first of a round, or the end of the one before. */
  private void ask(Probe about, long now, int waits) {
    boolean first = about.step == 0;
    if (!first && (about.vouched || about.step >= rounds(about) * STEPS_EACH_ROUND)) {
      end(about, now);
      return;
    }
    send(about, now, !first);
    next(about, now, waits);
  }

  /** Rounds in all before it is accused; whoever does not do well itself asks more often. */
  private int rounds(Probe about) {
    return Math.min(ROUNDS_MOST, (steps.suspected(about) ? 1 : 2) + health.moreRounds());
  }

  private void stepOfOthers(Probe about, long now) {
    if (about.step > 1) {
      finish(about, now);
      return;
    }
    send(about, now, about.step == 1);
    next(about, now, 1 + about.step);
  }

  private void send(Probe about, long now, boolean bare) {
    about.sends(now);
    steps.ask(about, bare);
  }

  private void next(Probe about, long now, int waits) {
    about.step++;
    about.nextAt = now + waits * patience(about);
  }

  /** How long an answer is waited for before more is tried. */
  private long patience(Probe about) {
    long patient = Math.max(periods.probeTimeout(), 2 * Math.max(about.trip, usualTrip));
    return Math.min(periods.maxProbeTimeout(), health.stretched(patient));
  }

  private void end(Probe about, long now) {
    finish(about, now);
    if (about.vouched) {
      steps.onlyOthers(about);
      return;
    }
    // Others who say that they got no answer either are heard: then it is not this process that
    // hears nothing.
    int silent = about.relays - about.refusals;
    health.worse(about.relays == 0 ? 1 : Math.max(0, Math.min(SILENT_MOST, silent)));
    steps.missed(about);
  }

  /** Kept a little, as an answer may still come. */
  private void finish(Probe about, long now) {
    about.done = true;
    about.nextAt = now + 2 * periods.maxProbeTimeout();
  }
}
