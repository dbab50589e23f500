"""Aligned power-of-two blocks of a worker's accelerators, as bit masks.

Bit i of a mask is set if accelerator i is free.
"""

from functools import lru_cache


def block_mask(first: int, size: int) -> int:
    """Return the mask of a block of ``size`` accelerators that begins at ``first``."""
    return ((1 << size) - 1) << first


def is_block_size(size: int) -> bool:
    """Return whether a size is a power of two, or zero for no accelerators."""
    return size >= 0 and size & (size - 1) == 0


@lru_cache(maxsize=65536)
def largest_block(mask: int, total: int) -> int:
    """Return the size of the largest free aligned block of a worker."""
    size = 1
    while size * 2 <= total:
        size *= 2
    while size:
        bits = (1 << size) - 1
        if any(mask >> i & bits == bits for i in range(0, total - size + 1, size)):
            return size
        size //= 2
    return 0


@lru_cache(maxsize=65536)
def first_blocks(mask: int, total: int, size: int, count: int) -> tuple[int, ...]:
    """Return the starts of up to ``count`` free aligned blocks, the lowest first."""
    bits = (1 << size) - 1
    starts = range(0, total - size + 1, size)
    return tuple(i for i in starts if mask >> i & bits == bits)[:count]


@lru_cache(maxsize=65536)
def buddy_blocks(mask: int, total: int, size: int, count: int) -> tuple[int, ...]:
    """Return the starts of up to ``count`` free aligned blocks, chosen as buddies.

    Each block is taken from the smallest free aligned block that contains it, so that
    large free blocks are split last.
    """
    found: list[int] = []
    while len(found) < count:
        starts = first_blocks(mask, total, size, total)
        if not starts:
            break
        best = min(
            starts, key=lambda i: (enclosing_block_size(mask, total, i, size), i)
        )
        found.append(best)
        mask &= ~block_mask(best, size)
    return tuple(found)


def enclosing_block_size(mask: int, total: int, first: int, size: int) -> int:
    """Return the size of the largest free aligned block that contains a block."""
    while size * 2 <= total:
        wider = size * 2
        start = first - first % wider
        bits = block_mask(start, wider)
        if start + wider > total or mask & bits != bits:
            break
        first, size = start, wider
    return size
