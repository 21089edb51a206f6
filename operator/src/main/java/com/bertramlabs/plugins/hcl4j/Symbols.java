package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Hands out what hcl4j's lexer reads, with lines and columns. The parser of the library throws
 * these away, and its lexer is visible from this package only.
 */
public final class Symbols {
  private Symbols() {}

  /**
   * The symbols at the top of a file, each with those below it; lines and columns are counted from
   * 0.
   *
   * @throws HCLParserException if it is not HCL
   */
  public static List<Symbol> read(Reader in) throws IOException, HCLParserException {
    HCLLexer lexer = new HCLLexer(in);
    lexer.yylex();
    return lexer.elementStack;
  }
}
