VERSION = 0.1.0
DESTDIR =

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include/jacinthhill
	install -m 755 $(DAEMONS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/jacinthhill/*.h \
	    $(DESTDIR)$(PREFIX)/include/jacinthhill
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
	    jacinthhill.pc.in \
	    >$(DESTDIR)$(PREFIX)/lib/pkgconfig/jacinthhill.pc

# Builds and runs the example against an installed copy of the library, as a
# user of the library does.
STAGE = $(CURDIR)/$(BUILD)/stage
check-install:
	$(MAKE) install PREFIX=$(STAGE)
	PKG_CONFIG_PATH=$(STAGE)/lib/pkgconfig sh -c '$(CC) $(WARN) \
	    -o $(BUILD)/embed examples/embed.c \
	    $$(pkg-config --cflags --libs jacinthhill)'
	$(BUILD)/embed

.PHONY: install check-install
