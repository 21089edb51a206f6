package tillerlink.replay;

/** Connects the clients of a replay to gateways. */
public interface ClientTransport {
  /** The client's side of a connection to a gateway. */
  interface Connection {
    /** Sends bytes to the gateway. */
    void send(byte[] bytes);

    /** Closes the connection. The listener is not called afterwards. */
    void disconnect();
  }

  /** Receives the events of a connection. */
  interface Listener {
    /** Handles bytes that the gateway sent. */
    void onBytes(byte[] bytes);

    /**
     * Handles the end of the connection: the gateway closed it, or it could not be opened. Called
     * at most once, and never after the client closed the connection.
     */
    void onClosed();
  }

  /**
   * Returns whether a gateway accepts connections.
   *
   * @param gateway the index of the gateway
   */
  boolean isUp(int gateway);

  /**
   * Opens a connection to a gateway.
   *
   * @param gateway the index of the gateway
   */
  Connection open(int gateway, Listener listener);
}
