package tillerlink.members.config;

/**
 * Transport that sends messages to addresses rather than names, since the name of the member at a
 * seed's address is unknown until that member answers. Called on the gateway's event loop; never
 * blocks.
 */
@FunctionalInterface
public interface MembershipTransport {
  /**
   * Sends a message, which may be lost.
   *
   * @param address host:port, as configured by the operator or announced by the member itself
   * @param body the encoded message
   */
  void send(String address, byte[] body);
}
