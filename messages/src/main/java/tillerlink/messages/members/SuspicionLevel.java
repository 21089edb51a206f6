package tillerlink.messages.members;

/**
 * What a member has to refute: how the sender of a message holds its receiver, if that is otherwise
 * than the receiver says of itself.
 *
 * @param status the status that the sender holds the receiver in
 * @param incarnation the incarnation that it is of; 0 if there is nothing to refute
 * @param birth the process that it is of
 */
public record SuspicionLevel(MemberStatus status, long incarnation, long birth) {
  /** Nothing to refute. */
  public static final SuspicionLevel NONE = new SuspicionLevel(MemberStatus.ALIVE, 0, 0);

  /** Whether there is anything to refute. */
  public boolean isPresent() {
    return incarnation > 0;
  }
}
