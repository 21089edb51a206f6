package tillerlink.messages.members;

/**
 * A status that a member has to refute: the sender's status of the receiver, if it differs from the
 * status that the receiver reports of itself.
 *
 * @param status the status that the sender has stored for the receiver
 * @param incarnation the incarnation that the status refers to; 0 if there is nothing to refute
 * @param birth the birth of the process that the status refers to
 */
public record SuspicionLevel(MemberStatus status, long incarnation, long birth) {
  /** The value for nothing to refute. */
  public static final SuspicionLevel NONE = new SuspicionLevel(MemberStatus.ALIVE, 0, 0);

  /** Returns whether there is a status to refute. */
  public boolean isPresent() {
    return incarnation > 0;
  }
}
