package tillerlink.messages.envelope;

/** Why a datagram was refused; each kind is counted. */
public enum Refusal {
  /** It is longer than any datagram between gateways. */
  OVERSIZED("is longer than any of ours"),
  /** It is no datagram between gateways, truncated, or has a field that can't be used. */
  GARBLED("can't be read"),
  /** It is of a later release that changed what this one relies on. */
  TOO_NEW("is of a release that this one can't read"),
  /** It is of another fleet. */
  FOREIGN("is of another fleet"),
  /** This gateway has a secret, and the datagram has no seal. */
  UNSEALED("bears no seal"),
  /** Its seal is not of the fleet's secret, or this gateway has no secret to verify it. */
  FORGED("bears a seal that is not the fleet's"),
  /** It arrived before, or is too old to be checked for that. */
  REPEATED("came already, or too late to tell"),
  /** It has this process's own name and incarnation: the network sent it back. */
  OWN("is of this process itself"),
  /** It is a fragment that does not agree with the others of its message. */
  MISFIT("does not fit the pieces before it"),
  /** It is of a message whose other fragments did not arrive in time, or had no room. */
  INCOMPLETE("was one of a message that did not come whole"),
  /** It is for a component that is not enabled at this gateway. */
  NO_PART("is for a part that is not switched on here");

  private final String words;

  Refusal(String words) {
    this.words = words;
  }

  /** Returns the reason in words for the log. */
  public String words() {
    return words;
  }
}
