package tillerlink.members.probe;

import tillerlink.messages.members.SuspicionLevel;

/**
 * A probe of one member or address, with all its attempts until it is answered or has failed. Only
 * {@link ProbeManager} changes its state. Times are tenths of a millisecond.
 */
public final class Probe {
  /** The target of a probe, and the reason for it. */
  public enum Kind {
    /** An active member, in its turn or to verify gossip about it. */
    MEMBER,
    /** The unknown member at the address of a seed. */
    SEED,
    /** A member that was declared failed. */
    GONE,
    /** An inactive or unknown member that others reported, to verify the report. */
    UNVERIFIED,
    /** Another process that uses the local member's name. */
    RIVAL
  }

  /**
   * Number of sequence numbers that a probe reserves. Each attempt has its own number, so that an
   * answer identifies the attempt it belongs to. Must be a power of two.
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

  /** Returns the base number of the probe that a number belongs to. */
  static long baseNumber(long number) {
    return number & -NUMBERS_PER_PROBE;
  }

  /** Returns the index of the attempt that a number belongs to, starting at 0. */
  static int attempt(long number) {
    return (int) (number & (NUMBERS_PER_PROBE - 1));
  }

  /** Returns the target of the probe and the reason for it. */
  public Kind kind() {
    return kind;
  }

  /** Returns the number of the latest attempt. */
  public long number() {
    return baseNumber + Math.max(0, attempts - 1);
  }

  /** Returns the name of the probed member; empty for a seed. */
  public String name() {
    return name;
  }

  /** Returns the address that the probe is sent to, host:port. */
  public String address() {
    return address;
  }

  /** Returns the suspicion that the probed member has to refute, as known at the start. */
  public SuspicionLevel suspicion() {
    return suspicion;
  }

  /** Returns when the first attempt was sent, in tenths of a millisecond. */
  public long startedAt() {
    return startedAt;
  }

  /** Returns the round-trip time of the answered attempt, in tenths of a millisecond. */
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
