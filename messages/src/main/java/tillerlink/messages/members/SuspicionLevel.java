package tillerlink.messages.members;

/**
 * How the sender holds the one it writes to, if otherwise than that says of itself: what is to be
 * refuted.
 *
 * @param incarnation 0 if there is nothing to refute
 */
public record SuspicionLevel(MemberStatus status, long incarnation, long birth) {
  public static final SuspicionLevel NONE = new SuspicionLevel(MemberStatus.ALIVE, 0, 0);

  public boolean isPresent() {
    return incarnation > 0;
  }
}
