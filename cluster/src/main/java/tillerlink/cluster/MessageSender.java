package tillerlink.cluster;

/**
 * Sends messages to other gateways, without any guarantee: a message may be lost, delayed,
 * duplicated or reordered, and the sender is not notified. A component that needs delivery sends
 * again until it is acknowledged. Called on the gateway's event loop; never blocks.
 */
@FunctionalInterface
public interface MessageSender {
  /** The longest message, in bytes; more has to be split. */
  int MAX_MESSAGE_BYTES = 12_000;

  /** A message up to this length, in bytes, fits a single datagram on every common link. */
  int SINGLE_DATAGRAM_BYTES = 1_100;

  /** Sends a message; it is dropped if the name of the receiver is not known. */
  void send(String to, byte[] body);
}
