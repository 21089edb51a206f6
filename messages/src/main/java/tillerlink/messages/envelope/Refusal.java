package tillerlink.messages.envelope;

/** Why a datagram was passed over; each is counted. */
public enum Refusal {
  /** Longer than any of ours. */
  OVERSIZED("is longer than any of ours"),
  /** No datagram of ours, cut off, or with a field that can't be used. */
  GARBLED("can't be read"),
  /** Of a later release that changed what this one relies on. */
  TOO_NEW("is of a release that this one can't read"),
  /** Of another fleet. */
  FOREIGN("is of another fleet"),
  /** A secret is set here, and it bears no seal. */
  UNSEALED("bears no seal"),
  /** Its seal is not that of the fleet's secret, or there is none here to tell. */
  FORGED("bears a seal that is not the fleet's"),
  /** It came already, or is so old that it can't be told. */
  REPEATED("came already, or too late to tell"),
  /** It bears the own name and life: sent back by the network. */
  OWN("is of this process itself"),
  /** A piece that does not fit the others of its message. */
  MISFIT("does not fit the pieces before it"),
  /** A message whose other pieces did not come in time, or for which there was no room. */
  INCOMPLETE("was one of a message that did not come whole"),
  /** For a part that this gateway does not have. */
  NO_PART("is for a part that is not switched on here");

  private final String words;

  Refusal(String words) {
    this.words = words;
  }

  public String words() {
    return words;
  }
}
