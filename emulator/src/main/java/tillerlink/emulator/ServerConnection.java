package tillerlink.emulator;

import tillerlink.fakes.EngineReply;
import tillerlink.net.state.DisconnectReason;

/** A connection to a gateway as the engine's process sees it. */
public interface ServerConnection {
  /** Sends a reply. */
  void reply(EngineReply reply);

  /** Breaks the connection from the engine's end. */
  void disconnect(DisconnectReason reason);
}
