package tillerlink.members.config;

/**
 * Sends messages to addresses rather than names, since the name behind a seed's address is not
 * known before it has answered. Called on the gateway's event loop; never blocks.
 */
@FunctionalInterface
public interface MembershipTransport {
  /**
   * Sends a message, which may be lost.
   *
   * @param address host:port, as the operator or the member itself wrote it
   */
  void send(String address, byte[] body);
}
