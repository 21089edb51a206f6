package tillerlink.members.config;

/**
 * Sends to an address, since a seed's name is not known before it answered. What is sent may be
 * lost.
 */
@FunctionalInterface
public interface MembershipTransport {
  /**
   * @param address host:port, as the operator or the member itself wrote it
   */
  void send(String address, byte[] body);
}
