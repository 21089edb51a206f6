package tillerlink.messages.envelope;

/** The reason for which a datagram was refused; refusals are counted for each reason. */
public enum Refusal {
  /** The datagram or its reassembled message exceeds the maximum size. */
  OVERSIZED("exceeds the maximum size"),
  /** The datagram has another format, is truncated, or has a field with an invalid value. */
  GARBLED("is malformed or truncated"),
  /** The datagram requires a format version that this release does not support. */
  TOO_NEW("requires a newer version of the message format"),
  /** The datagram belongs to another fleet. */
  FOREIGN("belongs to another fleet"),
  /** The datagram has no seal although this gateway has a secret. */
  UNSEALED("has no seal, but this gateway has a secret"),
  /** The seal was not made with the fleet's secret, or this gateway has no secret to verify it. */
  FORGED("fails the verification of its seal"),
  /** The datagram has already arrived, or is too old to be checked for duplicates. */
  REPEATED("is a duplicate or too old to be checked"),
  /** The datagram has this process's own name and incarnation: the network sent it back. */
  OWN("has this process's own name and incarnation"),
  /** The fragment is inconsistent with the earlier fragments of its message. */
  MISFIT("is inconsistent with earlier fragments of its message"),
  /** The message was dropped because fragments did not arrive in time or the buffers were full. */
  INCOMPLETE("belongs to a message that was dropped before it was complete"),
  /** The message is addressed to a component that is not enabled on this gateway. */
  NO_PART("is addressed to a component that is not enabled on this gateway");

  private final String description;

  Refusal(String description) {
    this.description = description;
  }

  /** Returns the reason as a clause without a subject, for the log. */
  public String description() {
    return description;
  }
}
