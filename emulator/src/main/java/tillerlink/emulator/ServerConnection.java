package tillerlink.emulator;

import tillerlink.fakes.EngineReply;
import tillerlink.net.state.DisconnectReason;

/** An engine's end of a connection from a gateway. */
public interface ServerConnection {
  /** Sends a reply to the gateway. */
  void reply(EngineReply reply);

  /**
   * Ends the connection from the engine's end.
   *
   * @param reason how it ends, as the gateway will see it
   */
  void disconnect(DisconnectReason reason);
}
