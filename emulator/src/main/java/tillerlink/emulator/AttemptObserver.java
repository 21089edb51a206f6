package tillerlink.emulator;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import tillerlink.audit.Auditor;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineReply;

/**
 * An observer of a connection between a gateway and an engine, which reports the attempts on it to
 * the auditor.
 */
public final class AttemptObserver {
  private final Auditor auditor;
  private final int gateway;
  private final String engine;
  private final Set<String> attempts = new LinkedHashSet<>();

  /**
   * Creates the observer of a connection.
   *
   * @param auditor receives the start and the end of each attempt
   * @param gateway the index of the gateway
   * @param engine the name of the engine
   */
  public AttemptObserver(Auditor auditor, int gateway, String engine) {
    this.auditor = auditor;
    this.gateway = gateway;
    this.engine = engine;
  }

  /**
   * Records a command that the gateway sends.
   *
   * @param now the current time, in tenths of a millisecond
   * @param command a command that may start or cancel an attempt
   */
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
   * Records a reply of the engine, at the time when the gateway is about to read it. An attempt
   * that the reply ends counts as in flight until then.
   */
  public void onReply(EngineReply reply) {
    switch (reply.word()) {
      case REFUSED -> attemptEnded(reply.id(), true);
      case OK, ERROR -> attemptEnded(reply.id(), false);
      default -> {}
    }
  }

  /** Records that the engine has declared, other than by a reply, that an attempt never ran. */
  public void onNotExecuted(String id) {
    attemptEnded(id, true);
  }

  /**
   * Records that the engine has declared, other than by a reply, that some attempts never ran.
   *
   * @param condition accepts the ids of these attempts
   */
  public void onNotExecuted(Predicate<String> condition) {
    attempts.stream().filter(condition).toList().forEach(this::onNotExecuted);
  }

  /**
   * Records the end of the connection, and with it of all its attempts.
   *
   * @param provesNotExecuted whether it is known that the engine executed none of them
   */
  public void onConnectionEnded(boolean provesNotExecuted) {
    Set.copyOf(attempts).stream().sorted().forEach(id -> attemptEnded(id, provesNotExecuted));
  }
}
