package tillerlink.messages.statements;

import tillerlink.messages.Numbered;

/** What running a statement a second time would do. */
public enum RunEffect implements Numbered {
  /** It changes nothing, however often it runs. */
  PURE(0),
  /** The engine recognises the second run by its idempotency key. */
  RECEIPTED(1),
  /** It would take effect a second time. */
  EFFECTFUL(2);

  private final int number;

  RunEffect(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
