package tillerlink.emulator;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import tillerlink.audit.Auditor;
import tillerlink.fakes.EngineCommands.Command;
import tillerlink.fakes.EngineReplies;

/** Tells the auditor of the attempts on one connection, from what crosses it. */
public final class AttemptObserver {
  private final Auditor auditor;
  private final int gateway;
  private final String engine;
  private final Set<String> attempts = new LinkedHashSet<>();

  public AttemptObserver(Auditor auditor, int gateway, String engine) {
    this.auditor = auditor;
    this.gateway = gateway;
    this.engine = engine;
  }

  /** A gateway says something. */
  public void goesOut(long now, Command command) {
    switch (command.word()) {
      case WANT -> {
        attempts.add(command.id());
        auditor.sent(now, gateway, engine, command.id());
      }
      case NEVER_MIND -> over(command.id(), false);
      default -> {}
    }
  }

  private void over(String id, boolean provesNotExecuted) {
    if (attempts.remove(id)) {
      auditor.over(id, provesNotExecuted);
    }
  }

  /**
   * The engine says something; what ends an attempt is taken as the gateway is about to learn it.
   */
  public void comesBack(EngineReplies what) {
    switch (what.word()) {
      case REFUSED -> over(what.id(), true);
      case OK, ERROR -> over(what.id(), false);
      default -> {}
    }
  }

  /** The engine says, by other means than an answer, that an attempt never ran. */
  public void disowned(String id) {
    over(id, true);
  }

  /** The same for those of which a test holds. */
  public void disowned(Predicate<String> which) {
    attempts.stream().filter(which).toList().forEach(this::disowned);
  }

  /** The connection is over. */
  public void ended(boolean provesNotExecuted) {
    Set.copyOf(attempts).stream().sorted().forEach(id -> over(id, provesNotExecuted));
  }
}
