package tillerlink.emulator;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import tillerlink.audit.Auditor;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineReply;

/** Reports the attempts on one connection to the auditor, from the commands and replies on it. */
public final class AttemptObserver {
  private final Auditor auditor;
  private final int gateway;
  private final String engine;
  private final Set<String> attempts = new LinkedHashSet<>();

  /** Observes a connection of that gateway to that engine. */
  public AttemptObserver(Auditor auditor, int gateway, String engine) {
    this.auditor = auditor;
    this.gateway = gateway;
    this.engine = engine;
  }

  /** The gateway sends a command. */
  public void onCommand(long now, Command command) {
    switch (command.word()) {
      case WANT -> {
        attempts.add(command.id());
        auditor.onAttemptSent(now, gateway, engine, command.id());
      }
      case NEVER_MIND -> attemptEnded(command.id(), false);
      default -> {}
    }
  }

  private void attemptEnded(String id, boolean provesNotExecuted) {
    if (attempts.remove(id)) {
      auditor.onAttemptEnded(id, provesNotExecuted);
    }
  }

  /**
   * The engine replies. A reply that ends an attempt counts when the gateway is about to read it.
   */
  public void onReply(EngineReply reply) {
    switch (reply.word()) {
      case REFUSED -> attemptEnded(reply.id(), true);
      case OK, ERROR -> attemptEnded(reply.id(), false);
      default -> {}
    }
  }

  /** The engine declares, by other means than a reply, that an attempt never ran. */
  public void onNotExecuted(String id) {
    attemptEnded(id, true);
  }

  /** The same for all attempts that the predicate accepts. */
  public void onNotExecuted(Predicate<String> which) {
    attempts.stream().filter(which).toList().forEach(this::onNotExecuted);
  }

  /** The connection has ended. */
  public void onConnectionEnded(boolean provesNotExecuted) {
    Set.copyOf(attempts).stream().sorted().forEach(id -> attemptEnded(id, provesNotExecuted));
  }
}
