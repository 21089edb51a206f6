package tillerlink.members.probe;

import tillerlink.messages.members.SuspicionLevel;

/** One question to somebody, with all that is done until it is answered or given up. */
public final class Probe {
  /** Who is asked, and why. */
  public enum Kind {
    /** A member that takes part, in its turn. */
    MEMBER,
    /** Whoever has a seed's address. */
    SEED,
    /** One that was given up. */
    GONE,
    /** One of whom others say that it lives. */
    HEARSAY,
    /** Another process under the own name. */
    RIVAL
  }

  /**
   * Each time it is sent it has a number of its own, so that an answer shows which one it is to.
   */
  static final long SENDS = 32;

  final Kind kind;
  final long number;
  final String name;
  final String address;
  final SuspicionLevel suspicion;
  final long startedAt;
  final long trip;
  int step;
  long nextAt;
  int relays;
  int refusals;
  boolean vouched;
  boolean done;
  long took;
  private final long[] sentAt = new long[(int) SENDS];
  private int sends;

  Probe(
      Kind kind,
      long number,
      String name,
      String address,
      SuspicionLevel suspicion,
      long now,
      long trip) {
    this.kind = kind;
    this.number = number;
    this.name = name;
    this.address = address;
    this.suspicion = suspicion;
    startedAt = now;
    this.trip = trip;
    nextAt = now;
  }

  public Kind kind() {
    return kind;
  }

  /** Of what is sent now. */
  public long number() {
    return number + Math.max(0, sends - 1);
  }

  void sends(long now) {
    sentAt[sends++] = now;
  }

  long sentAt(int send) {
    return send < sends ? sentAt[send] : startedAt;
  }

  /** How long the answer took. */
  public long took() {
    return took;
  }

  /** Empty for a seed. */
  public String name() {
    return name;
  }

  public String address() {
    return address;
  }

  public SuspicionLevel suspicion() {
    return suspicion;
  }

  public long startedAt() {
    return startedAt;
  }
}
