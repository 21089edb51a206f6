package tillerlink.messages.statements;

import tillerlink.messages.Numbered;

/** The type of a statement's parameter. */
public enum ParameterType implements Numbered {
  /** A text. */
  TEXT(0),
  /** A whole number. */
  INTEGER(1),
  /** A decimal number. */
  DECIMAL(2),
  /** True or false. */
  FLAG(3),
  /** A date without a time. */
  DAY(4);

  private final int number;

  ParameterType(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
