package tillerlink.members.probe;

import tillerlink.messages.members.SuspicionLevel;

/**
 * One probe of somebody, with all its attempts until it is answered or has failed. Times are tenths
 * of a millisecond; {@link ProbeManager} changes it.
 */
public final class Probe {
  /** Who is probed, and why. */
  public enum Kind {
    /** An active member, in its turn. */
    MEMBER,
    /** Whoever has the address of a seed. */
    SEED,
    /** A member that was declared failed. */
    GONE,
    /** A member of which others say that it is alive. */
    UNVERIFIED,
    /** Another process under the local member's name. */
    RIVAL
  }

  /**
   * How many numbers a probe reserves: each attempt has its own, so that an answer shows which
   * attempt it is to. A power of two.
   */
  static final long NUMBERS_PER_PROBE = 32;

  final Kind kind;
  final long baseNumber;
  final String name;
  final String address;
  final SuspicionLevel suspicion;
  final long startedAt;
  final long expectedRoundTrip;
  int step;
  long nextStepAt;
  int indirectRequests;
  int indirectNacks;
  boolean ackedIndirectly;
  boolean finished;
  long roundTrip;
  private final long[] sentAt = new long[(int) NUMBERS_PER_PROBE];
  private int attempts;

  Probe(
      Kind kind,
      long baseNumber,
      String name,
      String address,
      SuspicionLevel suspicion,
      long now,
      long expectedRoundTrip) {
    this.kind = kind;
    this.baseNumber = baseNumber;
    this.name = name;
    this.address = address;
    this.suspicion = suspicion;
    startedAt = now;
    this.expectedRoundTrip = expectedRoundTrip;
    nextStepAt = now;
  }

  /** The base number of the probe that a number belongs to. */
  static long baseNumber(long number) {
    return number & -NUMBERS_PER_PROBE;
  }

  /** Which attempt of its probe a number belongs to, from 0 on. */
  static int attempt(long number) {
    return (int) (number & (NUMBERS_PER_PROBE - 1));
  }

  /** Who is probed, and why. */
  public Kind kind() {
    return kind;
  }

  /** The number of the attempt that is sent now. */
  public long number() {
    return baseNumber + Math.max(0, attempts - 1);
  }

  /** The name of whom is probed; empty for a seed. */
  public String name() {
    return name;
  }

  /** Where the probe is sent, host:port. */
  public String address() {
    return address;
  }

  /** What the probed member has to refute, as it was known at the start. */
  public SuspicionLevel suspicion() {
    return suspicion;
  }

  /** When the first attempt was sent. */
  public long startedAt() {
    return startedAt;
  }

  /** The round-trip time of the answered attempt. */
  public long roundTrip() {
    return roundTrip;
  }

  void onSend(long now) {
    sentAt[attempts++] = now;
  }

  long sentAt(int attempt) {
    return attempt < attempts ? sentAt[attempt] : startedAt;
  }
}
