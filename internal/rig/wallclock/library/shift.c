/*
 * Gives the process that preloads this library a wall clock of its own, without privileges.
 *
 * The Go runtime reads the clocks through __vdso_clock_gettime, which it looks up in the ELF image that AT_SYSINFO_EHDR of the auxiliary
 * vector points at. A constructor of a preloaded library runs before the runtime looks, and points that entry at a small image of its
 * own, whose only symbol is the function below. CLOCK_REALTIME is shifted by what the mapped file says at that moment; all other clocks
 * are passed through.
 */
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS 1000000000LL

/* Nanoseconds to add to CLOCK_REALTIME; written by whoever holds the file. */
static volatile int64_t *offset;

static int shifted_clock_gettime(clockid_t id, struct timespec *now)
{
	int result = clock_gettime(id, now);
	if (result == 0 && id == CLOCK_REALTIME) {
		int64_t shifted = (int64_t)now->tv_sec * NANOSECONDS + now->tv_nsec + *offset;
		now->tv_sec = shifted / NANOSECONDS;
		now->tv_nsec = shifted % NANOSECONDS;
	}
	return result;
}

#define SYMBOL_NAME "__vdso_clock_gettime"

/* The image: what the runtime's look-up reads, and no more. */
static struct {
	Elf64_Ehdr head;
	Elf64_Phdr segments[2];
	Elf64_Dyn dynamic[5];
	Elf64_Sym symbols[2];
	uint32_t hash[5]; /* one bucket and two chains */
	Elf64_Verdef version;
	char names[1 + sizeof SYMBOL_NAME];
} image;

#define AT(member) ((uint64_t)((char *)&(member) - (char *)&image))

static void build_image(void)
{
	memcpy(image.head.e_ident, ELFMAG, SELFMAG);
	image.head.e_phoff = AT(image.segments);
	image.head.e_phnum = 2;
	image.segments[0].p_type = PT_LOAD;
	image.segments[1].p_type = PT_DYNAMIC;
	image.segments[1].p_offset = AT(image.dynamic);
	image.dynamic[0].d_tag = DT_STRTAB;
	image.dynamic[0].d_un.d_ptr = AT(image.names);
	image.dynamic[1].d_tag = DT_SYMTAB;
	image.dynamic[1].d_un.d_ptr = AT(image.symbols);
	image.dynamic[2].d_tag = DT_HASH;
	image.dynamic[2].d_un.d_ptr = AT(image.hash);
	image.dynamic[3].d_tag = DT_VERDEF;
	image.dynamic[3].d_un.d_ptr = AT(image.version);
	image.dynamic[4].d_tag = DT_NULL;
	memcpy(image.names + 1, SYMBOL_NAME, sizeof SYMBOL_NAME);
	image.symbols[1].st_name = 1;
	image.symbols[1].st_info = ELF64_ST_INFO(STB_GLOBAL, STT_FUNC);
	image.symbols[1].st_shndx = 1;
	image.symbols[1].st_value = (uint64_t)shifted_clock_gettime - (uint64_t)&image;
	image.hash[0] = 1; /* buckets */
	image.hash[1] = 2; /* chains */
	image.hash[2] = 1; /* the bucket begins with symbol 1, whose chain ends there */
	image.version.vd_version = VER_DEF_CURRENT;
	image.version.vd_flags = VER_FLG_BASE; /* no other version: the symbol's own is not compared */
}

static void map_offset(const char *path)
{
	int file = open(path, O_RDONLY | O_CLOEXEC);
	void *at = file < 0 ? MAP_FAILED : mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, file, 0);
	if (at == MAP_FAILED)
		abort(); /* a test without its clock must not pass */
	offset = at;
	close(file);
}

__attribute__((constructor)) static void take_over(int argc, char **argv, char **environment)
{
	(void)argc;
	(void)argv;
	const char *path = getenv("WALLCLOCK_OFFSET_FILE");
	if (path == NULL)
		return;
	map_offset(path);
	build_image();
	char **end = environment;
	while (*end != NULL)
		end++;
	for (Elf64_auxv_t *entry = (Elf64_auxv_t *)(end + 1); entry->a_type != AT_NULL; entry++)
		if (entry->a_type == AT_SYSINFO_EHDR)
			entry->a_un.a_val = (uint64_t)&image;
}
